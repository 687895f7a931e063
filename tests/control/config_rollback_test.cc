// The configuration's stream comes back from an older copy: its newest records
// are lost and their offsets are given out again, to newer records.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "control/config_node_fixture.h"
#include "control/snapshot_reader.h"
#include "model/config_judge.h"

namespace kumquatcart {
namespace {

constexpr std::size_t kMaxBytes = 64 * 1024;

// A log and nodes on one clock; records are 1 ms apart.
struct RollbackFixture {
  RollbackFixture() : log(clock), dead_log(clock) {
    this->dead_log.SetDown(true);
  }

  ConfigNode& AddNode(LogService* node_log) {
    this->nodes.push_back(std::make_unique<ConfigNode>(
        "n" + std::to_string(this->nodes.size()), &this->clock, node_log));
    return *this->nodes.back();
  }

  void Add(const std::string& name) {
    this->clock.Advance(std::chrono::milliseconds(1));
    AddOrganisation(&this->log, name);
  }

  // What the records of the log amount to.
  ConfigView ViewOfLog() {
    ConfigView view;
    const LogBatch batch =
        this->log.Read(kConfigStream, 1, 10'000, Duration::zero()).value();
    for (const LogRecord& record : batch.records) {
      view = JudgeRecord(std::move(view), record).view;
    }
    return view;
  }

  ManualClock clock;
  FakeLogService log;
  FakeLogService dead_log;
  std::vector<std::unique_ptr<ConfigNode>> nodes;
};

// Passes on what `receiver` lacks, as one exchange of the two nodes does.
void Exchange(ConfigNode& sender, ConfigNode& receiver) {
  const Result<Json> delta =
      sender.topic.DeltaFor(receiver.topic.Digest(), kMaxBytes);
  REQUIRE(delta.has_value());
  REQUIRE(receiver.topic.Merge(delta.value()).has_value());
}

// Guards against a node without access to the log that keeps a lost history,
// because its offset is as high as that of its peers or higher, and against
// peers that take lost records from it.
TEST_CASE("A peer that has lost records takes the newer ones") {
  const bool is_shorter = GENERATE(false, true);
  RollbackFixture fixture;
  for (const char* const name : {"a", "b", "c"}) {
    fixture.Add(name);
  }
  ConfigNode& reader = fixture.AddNode(&fixture.log);
  ConfigNode& cut_off = fixture.AddNode(&fixture.dead_log);
  REQUIRE(reader.Poll().has_value());
  Exchange(reader, cut_off);
  REQUIRE(cut_off.Config()->offset == 3);
  fixture.log.RestoreBefore(kConfigStream, 2);
  fixture.Add("d");
  if (!is_shorter) {
    fixture.Add("e");
    fixture.Add("f");
  }
  REQUIRE(reader.Poll().has_value());
  REQUIRE(*reader.Config() == fixture.ViewOfLog());
  Exchange(cut_off, reader);
  CHECK(*reader.Config() == fixture.ViewOfLog());
  Exchange(reader, cut_off);
  CHECK(*cut_off.Config() == fixture.ViewOfLog());
}

// Guards against a configuration that goes back to an older copy, although the
// newer one was confirmed and is only to be written again.
TEST_CASE("A configuration stays until the restored log has a newer record") {
  RollbackFixture fixture;
  for (const char* const name : {"a", "b", "c"}) {
    fixture.Add(name);
  }
  ConfigNode& older = fixture.AddNode(&fixture.log);
  REQUIRE(older.Poll().has_value());
  const auto confirmed = older.Config();
  fixture.log.RestoreBefore(kConfigStream, 2);
  REQUIRE(older.Poll().has_value());
  CHECK(*older.Config() == *confirmed);
  // One that starts meanwhile has the copy first.
  ConfigNode& started = fixture.AddNode(&fixture.log);
  REQUIRE(started.Poll().has_value());
  Exchange(older, started);
  REQUIRE(started.Poll().has_value());
  CHECK(*started.Config() == *confirmed);
  fixture.Add("b");
  REQUIRE(older.Poll().has_value());
  REQUIRE(started.Poll().has_value());
  CHECK(*older.Config() == fixture.ViewOfLog());
  CHECK(*started.Config() == fixture.ViewOfLog());
}

// Guards against a node that starts from a snapshot of lost records, and
// against snapshots that are not written until the offset of a lost one is
// passed.
TEST_CASE("A snapshot of lost records is not followed and is replaced") {
  RollbackFixture fixture;
  for (const char* const name : {"a", "b", "c", "d"}) {
    fixture.Add(name);
  }
  ConfigNode& writer = fixture.AddNode(&fixture.log);
  REQUIRE(writer.Poll().has_value());
  fixture.clock.Advance(std::chrono::hours(1));
  static_cast<void>(writer.snapshotter.RunOnce());
  fixture.clock.Advance(std::chrono::hours(1));
  REQUIRE(writer.snapshotter.RunOnce().value());
  fixture.log.RestoreBefore(kConfigStream, 2);
  fixture.Add("e");
  fixture.Add("f");
  ConfigNode& started = fixture.AddNode(&fixture.log);
  REQUIRE(started.Poll().has_value());
  CHECK(*started.Config() == fixture.ViewOfLog());
  // Operator commands read the snapshot as well.
  CHECK_FALSE(ReadNewestConfirmedSnapshot(&fixture.log).value().has_value());
  REQUIRE(writer.Poll().has_value());
  fixture.clock.Advance(std::chrono::hours(1));
  CHECK(writer.snapshotter.RunOnce().value());
  const auto confirmed = ReadNewestConfirmedSnapshot(&fixture.log).value();
  REQUIRE(confirmed.has_value());
  CHECK(confirmed->view == fixture.ViewOfLog());
}

// Guards against a node that does not notice a history of the same length.
TEST_CASE("A history as long as the lost one is noticed without a new record") {
  RollbackFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  ConfigNode& node = fixture.AddNode(&fixture.log);
  REQUIRE(node.Poll().has_value());
  fixture.log.RestoreBefore(kConfigStream, 2);
  fixture.Add("c");
  fixture.clock.Advance(std::chrono::seconds(10));
  REQUIRE(node.Poll().has_value());
  CHECK(*node.Config() == fixture.ViewOfLog());
}

// Guards against any order of appends, returns, reads, exchanges and snapshots
// after which nodes keep different configurations, or one goes back.
TEST_CASE("Nodes end in the state of the log after any returns") {
  CHECK(rc::check("nodes end in the state of the log", [] {
    RollbackFixture fixture;
    ConfigNode& cut_off = fixture.AddNode(&fixture.dead_log);
    for (int index = 0; index < 3; ++index) {
      fixture.AddNode(&fixture.log);
    }
    const auto draw = [](int bound) { return *rc::gen::inRange(0, bound); };
    int names = 0;
    const auto add = [&] { fixture.Add("o" + std::to_string(++names)); };
    const int steps = draw(60);
    for (int step = 0; step < steps; ++step) {
      ConfigNode& node = *fixture.nodes[draw(4)];
      std::vector<LogPlace> before;
      for (const auto& each : fixture.nodes) {
        before.push_back(each->replica.CurrentPlace());
      }
      switch (draw(6)) {
        case 0:
        case 1:
          add();
          break;
        case 2:
          static_cast<void>(node.Poll());
          break;
        case 3: {
          ConfigNode& sender = *fixture.nodes[draw(4)];
          const Result<Json> delta =
              sender.topic.DeltaFor(node.topic.Digest(), kMaxBytes);
          RC_ASSERT(delta.has_value());
          RC_ASSERT(node.topic.Merge(delta.value()).has_value());
          break;
        }
        case 4: {
          const Offset last = fixture.ViewOfLog().offset;
          if (last > kNoOffset) {
            fixture.log.RestoreBefore(kConfigStream,
                                      1 + draw(static_cast<int>(last)));
          }
          break;
        }
        default:
          fixture.clock.Advance(std::chrono::minutes(11));
          static_cast<void>(node.snapshotter.RunOnce());
          break;
      }
      for (std::size_t index = 0; index < before.size(); ++index) {
        RC_ASSERT(!before[index].IsAbove(
            fixture.nodes[index]->replica.CurrentPlace()));
      }
    }
    add();
    // A history as long as the lost one is noticed after this time.
    fixture.clock.Advance(std::chrono::seconds(10));
    const ConfigView expected = fixture.ViewOfLog();
    for (std::size_t index = 1; index < fixture.nodes.size(); ++index) {
      RC_ASSERT(fixture.nodes[index]->Poll().has_value());
      RC_ASSERT(*fixture.nodes[index]->Config() == expected);
    }
    Exchange(*fixture.nodes[1], cut_off);
    RC_ASSERT(*cut_off.Config() == expected);
  }));
}

}  // namespace
}  // namespace kumquatcart
