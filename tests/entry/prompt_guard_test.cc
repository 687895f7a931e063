// Parts of prompts under which servers end, on several entry VMs.
#include "entry/prompt_guard.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One way between two VMs, and the time until a server begins to answer.
constexpr Duration kLatency = milliseconds(2);
constexpr Duration kRunTime = milliseconds(20);
constexpr Duration kInterval = milliseconds(5);
constexpr double kLoss = 0.2;
// Of a request that is well under way.
constexpr int kEventsBeside = 20;
// The longest pause of a stream that the platform counts as on time.
constexpr Duration kLongestPause = milliseconds(200);

// VMs whose messages are late and sometimes lost.
class Vms {
 public:
  explicit Vms(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->Add();
    }
  }
  ~Vms() { this->loop.UnwindCoroutines(); }
  Vms(const Vms&) = delete;
  Vms& operator=(const Vms&) = delete;

  void Add() {
    const std::size_t index = this->guards.size();
    this->networks.push_back(std::make_unique<Network>(this, index));
    this->guards.push_back(std::make_unique<PromptGuard>(
        &this->loop, "n" + std::to_string(index), this->networks.back().get(),
        &this->metrics, static_cast<std::uint32_t>(index + 1)));
    this->guards.back()->Start();
  }

  // Sends a request through one of the VMs. `is_bad`: a server ends under it.
  void Send(std::size_t vm, const PromptParts& parts, bool is_bad) {
    this->loop.Spawn([this, vm, parts, is_bad](Coroutine yield) {
      CallerRequest request;
      request.id = "r" + std::to_string(++this->sent);
      request.shared_parts = parts;
      Waiter waiter(&this->loop);
      PromptPass pass = this->guards[vm]->Admit(
          request, this->loop.Now() + seconds(1), [] { return false; }, &waiter,
          yield);
      if (!pass.may_send) {
        ++(is_bad ? this->bad_refused : this->sound_refused);
        return;
      }
      BackendServer server;
      server.id = "s" + std::to_string(this->sent);
      server.started_ms = 1000;
      if (is_bad) {
        ++this->bad_arrivals;
        this->last_arrival = this->loop.Now();
        this->ended.insert(server.id);
      }
      this->loop.Sleep(kRunTime, yield);
      if (is_bad) {
        this->End(vm, request, server, std::move(pass.trial), this->bad_events);
        for (int i = 0; i < this->requests_beside; ++i) {
          this->EndBeside(this->PickVm(), server,
                          {"5afe01", server.id + "." + std::to_string(i)});
        }
      } else {
        this->guards[vm]->NoteSound(request, WholeAnswer());
        ++this->sound_served;
      }
    });
  }

  // Lets a request that was at `server` end with it after `events` events, and
  // sends it again, which must not be held up.
  void EndBeside(std::size_t vm,
                 const BackendServer& server,
                 const PromptParts& parts,
                 int events = kEventsBeside) {
    this->loop.Spawn([this, vm, server, parts, events](Coroutine yield) {
      CallerRequest request;
      request.id = server.id + " beside";
      request.shared_parts = parts;
      this->End(vm, request, server, nullptr, events);
      Waiter waiter(&this->loop);
      const PromptPass pass = this->guards[vm]->Admit(
          request, this->loop.Now() + kLongestPause, [] { return false; },
          &waiter, yield);
      if (!pass.may_send) {
        ++this->sound_refused;
        return;
      }
      this->loop.Sleep(kRunTime, yield);
      this->guards[vm]->NoteSound(request, WholeAnswer());
      ++this->sound_served;
    });
  }

  void RunFor(Duration duration) {
    RunCoroutine(&this->loop, [this, duration](Coroutine yield) {
      this->loop.Sleep(duration, yield);
    });
  }

  std::size_t PickVm() {
    return std::uniform_int_distribution<std::size_t>(
        0, this->guards.size() - 1)(this->generator);
  }

  EventLoop loop;
  MetricRegistry metrics;
  std::vector<std::unique_ptr<PromptGuard>> guards;
  int bad_events = 0;       // That a server writes before it ends.
  int requests_beside = 0;  // That end with each server.
  int sent = 0;
  int bad_arrivals = 0;
  int bad_refused = 0;
  int sound_served = 0;
  int sound_refused = 0;
  MonotonicTime last_arrival;

 private:
  class Network : public PromptNetwork {
   public:
    Network(Vms* vms, std::size_t index) : vms(vms), index(index) {}

    ServerSign Probe(const BackendServer& server, Coroutine) override {
      return this->vms->ended.count(server.id) == 0 ? ServerSign::kRunning
                                                    : ServerSign::kEnded;
    }
    std::vector<std::string> Peers() const override {
      std::vector<std::string> nodes;
      for (std::size_t i = 0; i < this->vms->guards.size(); ++i) {
        if (i != this->index) {
          nodes.push_back("n" + std::to_string(i));
        }
      }
      return nodes;
    }
    void Send(const std::vector<std::string>& nodes,
              const PromptEvidence& evidence) override {
      const auto timer = std::make_shared<boost::asio::steady_timer>(
          this->vms->loop.Context(), kLatency);
      timer->async_wait([vms = this->vms, timer, nodes,
                         evidence](const boost::system::error_code& error) {
        for (const std::string& node : nodes) {
          if (!error && !std::bernoulli_distribution(kLoss)(vms->generator)) {
            vms->guards[std::stoul(node.substr(1))]->HandleEvidence(evidence);
          }
        }
      });
    }

   private:
    Vms* const vms;
    const std::size_t index;
  };

  // The answer of `server` ends after `events` events.
  void End(std::size_t vm,
           const CallerRequest& request,
           const BackendServer& server,
           PromptTrialPtr trial,
           int events) {
    for (int i = 1; i <= events; ++i) {
      if (const auto extent = ExtentOf(i)) {
        this->guards[vm]->NoteSound(request, *extent);
      }
    }
    this->guards[vm]->NoteEnd(
        request, server, std::move(trial),
        {events > 0 ? RunEnd::kCutShort : RunEnd::kUnanswered, events,
         this->loop.Now()});
  }

  std::vector<std::unique_ptr<Network>> networks;
  std::set<std::string> ended;
  std::mt19937 generator{1};
};

const PromptParts kBad{"5afe01", "bad0c0de"};
const PromptParts kSound{"5afe01"};

// Guards against a part that each of the VMs learns of by servers of its own,
// and against one that crashes servers and is not told from those beside it.
TEST_CASE("All VMs together send few requests under which servers end") {
  for (const std::size_t count :
       {std::size_t{1}, std::size_t{8}, std::size_t{370}}) {
    CAPTURE(count);
    Vms vms(count);
    const MonotonicTime begin = vms.loop.Now();
    while (vms.loop.Now() < begin + milliseconds(1200)) {
      vms.Send(vms.PickVm(), kBad, true);
      vms.Send(vms.PickVm(), kSound, false);
      vms.RunFor(kInterval);
    }
    vms.RunFor(seconds(1));
    // Those that were under way when the first server ended, and the trials.
    CHECK(vms.bad_arrivals <= 15);
    CHECK(vms.last_arrival < begin + milliseconds(800));
    CHECK(vms.bad_refused > 50);
    CHECK(vms.sound_refused == 0);
    // Neither a VM that has just started nor any other sends one more.
    const int arrivals = vms.bad_arrivals;
    vms.Add();
    for (std::size_t i = 0; i < count; ++i) {
      vms.guards[i]->HandlePeer("n" + std::to_string(count));
    }
    vms.RunFor(milliseconds(50));
    for (std::size_t i = 0; i <= count; ++i) {
      vms.Send(i, kBad, true);
    }
    vms.RunFor(milliseconds(50));
    CHECK(vms.bad_arrivals - arrivals <= (count == 1 ? 1 : 0));
  }
}

// Guards against a part that each run clears before it ends its server, and
// against requests that were under way at such servers and are held up.
TEST_CASE("Few requests end servers late in their answers") {
  for (const std::size_t count : {std::size_t{1}, std::size_t{8}}) {
    CAPTURE(count);
    Vms vms(count);
    vms.bad_events = 4;
    vms.requests_beside = 13;
    for (std::size_t vm = 0; vm < count; ++vm) {
      vms.Send(vm, kSound, false);
    }
    vms.RunFor(2 * kRunTime);
    const MonotonicTime begin = vms.loop.Now();
    while (vms.loop.Now() < begin + milliseconds(1200)) {
      vms.Send(vms.PickVm(), kBad, true);
      vms.Send(vms.PickVm(), kSound, false);
      vms.RunFor(kInterval);
    }
    vms.RunFor(seconds(1));
    CHECK(vms.bad_arrivals <= 15);
    CHECK(vms.last_arrival < begin + milliseconds(800));
    CHECK(vms.bad_refused > 50);
    CHECK(vms.sound_refused == 0);
  }
}

// Guards against sound parts that are refused because requests with them were
// sent, over open connections, to servers that had ended already.
TEST_CASE("Requests that were sent to ended servers are no evidence") {
  Vms vms(1);
  for (int i = 0; i < 3; ++i) {
    vms.Send(0, kBad, true);
    vms.RunFor(2 * kRunTime);
  }
  const PromptParts parts{"c1", "c2"};
  for (int i = 0; i < 3; ++i) {
    BackendServer server;
    server.id = "s" + std::to_string(i + 1);
    server.started_ms = 1000;
    vms.EndBeside(0, server, parts, /*events=*/0);
    vms.RunFor(kInterval);
  }
  vms.RunFor(seconds(1));
  CHECK(vms.bad_arrivals == 3);
  CHECK(vms.sound_refused == 0);
  CHECK(vms.sound_served == 3);
  CHECK(vms.metrics.GetCounter("kumquatcart_prompt_crashes_total").Value() ==
        3);
}

}  // namespace
}  // namespace kumquatcart
