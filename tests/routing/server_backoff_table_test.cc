// Backoffs of servers, and the return of many VMs after one.
#include "routing/server_backoff_table.h"

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
const ServerStart kServer{"s", 1000};

// Guards against a short wait that replaces a longer one named before.
TEST_CASE("The latest end of several backoffs holds") {
  ServerBackoffTable table;
  CHECK(table.Record(kServer, kStart + seconds(3)));
  CHECK_FALSE(table.Record(kServer, kStart + seconds(1)));
  CHECK(table.FindEnd("s", kStart + seconds(2)) == kStart + seconds(3));
  CHECK(table.Record(kServer, kStart + seconds(4)));
  CHECK(table.FindEnd("s", kStart + seconds(3)) == kStart + seconds(4));
  CHECK_FALSE(table.FindEnd("s", kStart + seconds(4)));
  CHECK_FALSE(table.FindEnd("t", kStart));
}

// Guards against an answer to an earlier request that ends a backoff.
TEST_CASE("An accepted request does not end a backoff") {
  ServerBackoffTable table;
  table.Record(kServer, kStart + seconds(3));
  for (int i = 0; i < 10; ++i) {
    table.RecordAccepted("s", kStart + seconds(1));
  }
  CHECK(table.MaxInProgress("s", kStart + seconds(2)) == 0);
  CHECK(table.MaxInProgress("s", kStart + seconds(3)) == 1);
}

TEST_CASE("After a backoff each accepted request admits one more") {
  ServerBackoffTable table;
  const MonotonicTime end = kStart + seconds(1);
  table.Record(kServer, end);
  CHECK(table.MaxInProgress("s", end) == 1);
  table.RecordAccepted("s", end);
  CHECK(table.MaxInProgress("s", end) == 2);
  for (int i = 0; i < 40; ++i) {
    table.RecordAccepted("s", end);
  }
  CHECK_FALSE(table.MaxInProgress("s", end));
  table.Record(kServer, end);
  CHECK_FALSE(table.MaxInProgress("s", end + seconds(2)));
}

// Guards against a backoff that binds the next start of a server, or that its
// own entry ends when it is written again.
TEST_CASE("Only a later start ends a backoff") {
  ServerBackoffTable table;
  table.Record(kServer, kStart + seconds(60));
  CHECK_FALSE(table.HandleStart(kServer));
  CHECK_FALSE(table.HandleStart({"s", 999}));
  CHECK(table.FindEnd("s", kStart));
  CHECK(table.HandleStart({"s", 1001}));
  CHECK_FALSE(table.FindEnd("s", kStart));
}

// Guards against a long backoff that is dropped as idle state, or because the
// store has lost the server's entry for a moment.
TEST_CASE("A long backoff is kept until its end or its server's") {
  ServerBackoffTable table;
  const MonotonicTime end = kStart + std::chrono::hours(2);
  table.Record(kServer, end);
  const auto exists = [](const std::string&) { return true; };
  const auto is_missing = [](const std::string&) { return false; };
  table.DropStale(kStart + std::chrono::hours(1), exists);
  table.DropStale(kStart + std::chrono::hours(1), is_missing);
  table.DropStale(kStart + std::chrono::hours(1) + seconds(30), exists);
  CHECK(table.FindEnd("s", end - seconds(1)));
  SECTION("its end") {
    table.DropStale(end + seconds(3), exists);
    CHECK(table.Size() == 0);
  }
  SECTION("its server's") {
    table.DropStale(end - seconds(900), is_missing);
    table.DropStale(end - seconds(800), is_missing);
    CHECK(table.Size() == 0);
  }
}

// A naive model of the table for one server: all that was ever recorded.
struct NaiveBackoffs {
  struct Named {
    std::int64_t started_ms;
    MonotonicTime end;
  };
  std::vector<Named> named;
  std::int64_t started_ms = 1;

  bool HasBackoff(MonotonicTime now) const {
    return std::any_of(this->named.begin(), this->named.end(),
                       [this, now](const Named& backoff) {
                         return backoff.started_ms == this->started_ms &&
                                backoff.end > now;
                       });
  }
};

TEST_CASE("Random answers and starts leave the latest end of the last start") {
  CHECK(rc::check([] {
    ServerBackoffTable table;
    NaiveBackoffs naive;
    MonotonicTime now = kStart;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      now += milliseconds(step % 97);
      if (step % 10 == 0) {
        ++naive.started_ms;
        table.HandleStart({"s", naive.started_ms});
      } else if (step % 10 < 4) {
        const MonotonicTime end = now + milliseconds(step);
        table.Record({"s", naive.started_ms}, end);
        naive.named.push_back({naive.started_ms, end});
      } else if (step % 10 < 7) {
        table.RecordAccepted("s", now);
      } else {
        table.DropStale(now, [](const std::string&) { return true; });
      }
      RC_ASSERT(table.FindEnd("s", now).has_value() == naive.HasBackoff(now));
    }
  }));
}

// A plain server that works on a few requests at a time and queues some.
struct Herd {
  static constexpr int kSlots = 6;
  static constexpr std::size_t kQueue = 24;
  static constexpr Duration kWork = milliseconds(60);
  static constexpr Duration kTick = milliseconds(1);
  static constexpr Duration kBackoff = seconds(8);
  static constexpr Duration kObserved = seconds(8);
  // New requests of all VMs together in a tick: half of what the server can
  // work on. The end of the backoff finds those of a second waiting.
  static constexpr double kNew = 0.05;
  static constexpr int kHeld = 50;

  struct Vm {
    ServerBackoffTable table;
    int held = 0;
    int in_progress = 0;

    bool MaySend(bool is_naive, MonotonicTime now) const {
      const std::optional<int> most = this->table.MaxInProgress("s", now);
      return is_naive ? !this->table.FindEnd("s", now)
                      : !most || this->in_progress < *most;
    }
  };

  // Returns how many requests the server rejects because its queue is full.
  // `is_naive`: all VMs send at the end whatever they have.
  static int CountRejections(int vms, bool is_naive) {
    std::minstd_rand random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<Vm> all(static_cast<std::size_t>(vms));
    const MonotonicTime end = kStart + kBackoff;
    for (Vm& vm : all) {
      const Duration delay = ReturnDelay(kBackoff, vms, uniform(random));
      vm.table.Record(kServer, end + (is_naive ? Duration{0} : delay));
    }
    for (int i = 0; i < kHeld; ++i) {
      ++all[static_cast<std::size_t>(i * vms / kHeld)].held;
    }
    std::deque<std::pair<MonotonicTime, Vm*>> running;
    std::deque<Vm*> queued;
    int rejections = 0;
    for (MonotonicTime now = end; now < end + kObserved; now += kTick) {
      while (!running.empty() && running.front().first <= now) {
        --running.front().second->in_progress;
        running.front().second->table.RecordAccepted("s", now);
        running.pop_front();
      }
      while (!queued.empty() && running.size() < kSlots) {
        running.emplace_back(now + kWork, queued.front());
        queued.pop_front();
      }
      for (Vm& vm : all) {
        vm.held += uniform(random) < kNew / vms ? 1 : 0;
        for (; vm.held > 0 && vm.MaySend(is_naive, now); --vm.held) {
          if (queued.size() >= kQueue) {
            ++rejections;
            continue;
          }
          ++vm.in_progress;
          queued.push_back(&vm);
        }
      }
    }
    return rejections;
  }
};

// Guards against all VMs sending what they have to a server at the moment at
// which its backoff ends everywhere.
TEST_CASE("A server that returns is not overrun by any number of VMs") {
  for (const int vms : {8, 89, 370}) {
    CAPTURE(vms);
    CHECK(Herd::CountRejections(vms, false) == 0);
    CHECK(Herd::CountRejections(vms, true) > 0);
  }
}

}  // namespace
}  // namespace kumquatcart
