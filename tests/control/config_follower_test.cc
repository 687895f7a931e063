#include "control/config_follower.h"

#include <chrono>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "control/config_node_fixture.h"
#include "fakes/captured_log.h"
#include "fakes/counting_log.h"
#include "model/config_snapshot.h"

namespace kumquatcart {
namespace {

constexpr std::size_t kMaxBytes = 64 * 1024;

LogRecord PutRecord(Offset offset, const std::string& text, Offset revision) {
  return ChangeSetBuilder("id" + std::to_string(offset))
      .Put(ObjectKind::kOrganisation, "org", {{"display_name", text}}, revision)
      .Record(offset);
}

// A delta with a whole snapshot in one part.
Json WholePart(const Json& snapshot) {
  const std::string text = snapshot.dump();
  const auto size = static_cast<std::int64_t>(text.size());
  return {{"snapshot_part", SnapshotPart{1, 0, size, text}}};
}

TEST_CASE("A node never applies an older, repeated or lower record") {
  ManualClock clock;
  FakeLogService log(clock);
  ConfigNode node("n", &clock, &log);
  const std::vector<LogRecord> records = {
      PutRecord(1, "one", 0), PutRecord(2, "two", 1), PutRecord(3, "three", 2)};
  REQUIRE(node.replica.ApplyRecords({records[0]}));
  const ConfigView older = node.replica.CopyView();
  REQUIRE(node.replica.ApplyRecords(records));
  const auto newest = node.Config();
  REQUIRE(newest->offset == 3);

  REQUIRE_FALSE(node.replica.ApplyRecords(records));
  REQUIRE_FALSE(node.replica.ApplyRecords({records[0], records[1]}));
  // Would be accepted if it were evaluated again.
  REQUIRE_FALSE(node.replica.ApplyRecords({PutRecord(2, "forged", 3)}));
  REQUIRE_FALSE(node.replica.ApplyRecords({PutRecord(5, "gap", 3)}));
  REQUIRE_FALSE(node.replica.InstallSnapshot(older));
  REQUIRE_FALSE(node.topic.Merge(WholePart(EncodeSnapshot(older))).value());
  REQUIRE(node.Config() == newest);
}

TEST_CASE("A malformed record on the log does not stop the follower") {
  ManualClock clock;
  FakeLogService log(clock);
  REQUIRE(log.Append(kConfigStream, AppendId("x"), "{\"format\":").has_value());
  AddOrganisation(&log, "org");
  ConfigNode node("n", &clock, &log);
  REQUIRE(node.Poll().has_value());
  REQUIRE(node.Config()->offset == 2);
  REQUIRE(node.Config()->organisations.size() == 1);
  const auto audit = node.board.audit.Read();
  REQUIRE(audit->entries.size() == 2);
  REQUIRE(audit->entries[0].verdict == "refused");
  REQUIRE(audit->entries[1].actor == "tester@armor");
  REQUIRE(audit->entries[1].detail.find("add Organisation/org") == 0);
}

TEST_CASE("A node without access to the log receives changes from a peer") {
  ManualClock clock;
  FakeLogService log(clock);
  FakeLogService dead_log(clock);
  dead_log.SetDown(true);
  ConfigSettings settings;
  settings.tail_records = 2;
  ConfigNode reader("reader", &clock, &log, settings);
  ConfigNode cut_off("cut-off", &clock, &dead_log, settings);
  const auto exchange = [&] {
    Json delta =
        reader.topic.DeltaFor(cut_off.topic.Digest(), kMaxBytes).value();
    REQUIRE(cut_off.topic.Merge(delta).has_value());
    REQUIRE(cut_off.replica.CopyView() == reader.replica.CopyView());
    return delta;
  };
  AddOrganisation(&log, "a");
  REQUIRE(reader.Poll().has_value());
  REQUIRE(cut_off.Poll().has_error());
  REQUIRE_FALSE(cut_off.follower.IsPlatformReachable());
  REQUIRE(exchange().contains("records"));

  for (const char* const name : {"b", "c", "d"}) {
    AddOrganisation(&log, name);
  }
  REQUIRE(reader.Poll().has_value());
  REQUIRE(exchange().contains("snapshot_part"));
  REQUIRE(cut_off.Config()->organisations.size() == 4);
  REQUIRE(reader.topic.DeltaFor(cut_off.topic.Digest(), kMaxBytes)
              .value()
              .is_null());
}

TEST_CASE("A snapshot larger than a message arrives in parts") {
  ManualClock clock;
  FakeLogService log(clock);
  ConfigSettings settings;
  settings.tail_records = 1;
  ConfigNode reader("reader", &clock, &log, settings);
  ConfigNode other("other", &clock, &log, settings);
  ConfigNode cut_off("cut-off", &clock, &log, settings);
  for (int index = 0; index < 50; ++index) {
    AddOrganisation(&log, "org" + std::to_string(index));
  }
  REQUIRE(reader.Poll().has_value());
  const ConfigView snapshot = reader.replica.CopyView();
  const std::size_t part_bytes = 500;
  int messages = 0;
  while (cut_off.Config()->offset == kNoOffset && messages < 100) {
    // The sender advances, and a peer at another offset sends a part.
    if (messages == 3) {
      AddOrganisation(&log, "late");
      REQUIRE(reader.Poll().has_value());
      REQUIRE(other.Poll().has_value());
      const Json foreign =
          other.topic.DeltaFor(Json{{"offset", 0}}, part_bytes).value();
      REQUIRE_FALSE(cut_off.topic.Merge(foreign).value());
    }
    const Json delta =
        reader.topic.DeltaFor(cut_off.topic.Digest(), part_bytes).value();
    REQUIRE(cut_off.topic.Merge(delta).has_value());
    ++messages;
  }
  REQUIRE(messages > 3);
  REQUIRE(*cut_off.Config() == snapshot);

  // A receiver whose sender is gone restarts with another peer.
  ConfigNode late("late", &clock, &log, settings);
  const Json first =
      reader.topic.DeltaFor(late.topic.Digest(), part_bytes).value();
  REQUIRE(late.topic.Merge(first).has_value());
  AddOrganisation(&log, "later");
  REQUIRE(other.Poll().has_value());
  for (int message = 0; message < 100; ++message) {
    const Json delta =
        other.topic.DeltaFor(late.topic.Digest(), part_bytes).value();
    REQUIRE(late.topic.Merge(delta).has_value());
  }
  REQUIRE(*late.Config() == *other.Config());
}

TEST_CASE("A peer's message is validated before it is applied") {
  ManualClock clock;
  FakeLogService log(clock);
  ConfigNode node("n", &clock, &log);
  REQUIRE(node.replica.ApplyRecords({PutRecord(1, "one", 0)}));
  const auto before = node.Config();
  ConfigView newer = *before;
  newer.offset = 9;
  Json tampered = EncodeSnapshot(newer);
  tampered["content"]["objects"] = Json::array();
  for (const Json& delta :
       {Json(7), Json::object(), Json{{"records", 1}},
        Json{{"records", {{{"offset", "x"}}}}}, Json{{"snapshot_part", 1}},
        WholePart(Json(1)), WholePart(tampered)}) {
    REQUIRE(node.topic.Merge(delta).error().code ==
            ErrorCode::kInvalidArgument);
  }
  for (const Json& digest :
       {Json(), Json(1), Json{{"offset", "1"}}, Json{{"offset", -1}},
        Json{{"offset", 0}, {"snapshot_progress", 1}}}) {
    REQUIRE(node.topic.DeltaFor(digest, kMaxBytes).has_error());
  }
  REQUIRE(node.Config() == before);

  // This node evaluates the records itself and refuses an invalid one.
  const Json invalid_records = {{"records", {PutRecord(2, "stale", 0)}}};
  REQUIRE(node.topic.Merge(invalid_records).value());
  REQUIRE(node.Config()->offset == 2);
  REQUIRE(node.Config()->organisations == before->organisations);
}

TEST_CASE("Nothing accepted is lost when all nodes are replaced") {
  ManualClock clock;
  FakeLogService log(clock);
  log.SetRetention(std::chrono::minutes(30));
  ConfigNode reference("reference", &clock, &log);
  std::unique_ptr<ConfigNode> node;
  // At the end the last change is far older than the retention.
  for (int round = 0; round < 40; ++round) {
    if (round < 10) {
      AddOrganisation(&log, "org" + std::to_string(round));
      REQUIRE(reference.Poll().has_value());
    }
    node =
        std::make_unique<ConfigNode>("n" + std::to_string(round), &clock, &log);
    REQUIRE(node->Poll().has_value());
    REQUIRE(*node->Config() == *reference.Config());
    REQUIRE(node->snapshotter.RunOnce().has_value());
    clock.Advance(std::chrono::minutes(5));
  }
  REQUIRE(log.Read(kConfigStream, 1, 1, Duration::zero()).has_error());
  REQUIRE(node->Config()->organisations.size() == 10);
}

// Guards against a follower that reads the log without pause, with a log line
// each time, while the answers are valid and bring nothing new: the log ends
// below the follower's offset, leaves out a record, or repeats known ones, and
// does not wait for the time asked for.
TEST_CASE("A follower without progress reads and logs at a bounded rate") {
  const LogBatch no_progress =
      GENERATE(LogBatch{1, 1, {}}, LogBatch{1, 9, {}},
               LogBatch{1, 9, {PutRecord(9, "after a gap", 3)}},
               LogBatch{1, 9, {PutRecord(3, "again", 2)}});
  constexpr int kReads = 200;
  ManualClock clock;
  FakeLogService log(clock);
  CountingLog counted(&log);
  counted.answer_read = [&](const StreamName& stream, Offset) {
    return stream == kConfigStream
               ? std::optional<Result<LogBatch>>(no_progress)
               : std::nullopt;
  };
  const ConfigSettings settings;
  ConfigNode node("n", &clock, &counted, settings);
  REQUIRE(
      node.replica.ApplyRecords({PutRecord(1, "one", 0), PutRecord(2, "two", 1),
                                 PutRecord(3, "three", 2)}));
  const CapturedLog lines;
  const MonotonicTime start = clock.Now();
  node.follower.Start();
  while (counted.reads < kReads) {
    std::this_thread::yield();
  }
  node.follower.Stop();
  const Duration elapsed = clock.Now() - start;
  // As often as a log that waits as asked, after the first few reads.
  CHECK(counted.reads <= elapsed / settings.log_poll_wait + 3);
  CHECK(lines.CountLines("config_log_behind") <=
        elapsed / std::chrono::seconds(10) + 1);
}

TEST_CASE("A gap without a snapshot is reported, not skipped") {
  ManualClock clock;
  FakeLogService log(clock);
  AddOrganisation(&log, "a");
  AddOrganisation(&log, "b");
  log.ExpireBefore(kConfigStream, 2);
  ConfigNode node("n", &clock, &log);
  REQUIRE(node.Poll().error().code == ErrorCode::kExpired);
  REQUIRE(node.Config()->offset == kNoOffset);
  REQUIRE(node.metrics.GetCounter("kumquatcart_config_gaps_total").Value() ==
          1);
}

}  // namespace
}  // namespace kumquatcart
