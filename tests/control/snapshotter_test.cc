#include "control/snapshotter.h"

#include <set>

#include <catch2/catch.hpp>

#include "control/config_node_fixture.h"

namespace kumquatcart {
namespace {

constexpr int kNodes = 8;

int CountSnapshots(FakeLogService* log) {
  return static_cast<int>(
      log->Read(kSnapshotStream, 1, 1000, Duration::zero()).value().last);
}

class SnapshotNodes {
 public:
  SnapshotNodes() : log(this->clock) {
    AddOrganisation(&this->log, "org");
    MemberTable members;
    for (int index = 0; index < kNodes; ++index) {
      const std::string name = "n" + std::to_string(index);
      Member member;
      member.identity = IdentityOf(name);
      members.members[member.identity.id] = member;
      this->nodes.push_back(
          std::make_unique<ConfigNode>(name, &this->clock, &this->log));
    }
    for (const auto& node : this->nodes) {
      REQUIRE(node->Poll().has_value());
      node->board.members.Publish(members);
    }
  }

  // Runs every node except those in `silent` every 5 s. Returns the number of
  // snapshots written.
  int RunFor(Duration duration, const std::set<int>& silent = {}) {
    const int before = CountSnapshots(&this->log);
    const MonotonicTime end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      for (int index = 0; index < kNodes; ++index) {
        if (silent.count(index) == 0) {
          REQUIRE(this->nodes[index]->snapshotter.RunOnce().has_value());
        }
      }
      this->clock.Advance(std::chrono::seconds(5));
    }
    return CountSnapshots(&this->log) - before;
  }

  int FindRankZeroNode() const {
    const SnapshotInfo newest = {1, 0};
    for (int index = 0; index < kNodes; ++index) {
      const Board& board = this->nodes[index]->board;
      if (SnapshotRank(*board.members.Read(), board.identity.id, newest) == 0) {
        return index;
      }
    }
    return -1;
  }

 private:
  ManualClock clock;
  FakeLogService log;
  std::vector<std::unique_ptr<ConfigNode>> nodes;
};

TEST_CASE("Every live member has a rank of its own") {
  MemberTable members;
  for (int index = 0; index < kNodes; ++index) {
    Member member;
    member.identity = IdentityOf("n" + std::to_string(index));
    members.members[member.identity.id] = member;
  }
  members.members[NodeId("n0")].state = MemberState::kDead;
  std::set<std::size_t> ranks;
  for (int index = 1; index < kNodes; ++index) {
    const NodeId self("n" + std::to_string(index));
    ranks.insert(SnapshotRank(members, self, {7, 0}));
  }
  REQUIRE(ranks.size() == kNodes - 1);
  REQUIRE(*ranks.rbegin() == kNodes - 2);
}

TEST_CASE("One snapshot is written per interval however many nodes run") {
  SnapshotNodes nodes;
  REQUIRE(nodes.RunFor(std::chrono::minutes(5)) == 1);
  REQUIRE(nodes.RunFor(std::chrono::minutes(60)) == 6);
}

TEST_CASE("Another node writes when the first in rank does not") {
  SnapshotNodes nodes;
  REQUIRE(nodes.RunFor(std::chrono::minutes(5)) == 1);
  const int silent = nodes.FindRankZeroNode();
  REQUIRE(silent >= 0);
  // The next node in rank waits 20 s longer in each interval.
  REQUIRE(nodes.RunFor(std::chrono::minutes(60), {silent}) == 6);
}

TEST_CASE("Audit entries are appended in batches and survive a lost response") {
  ManualClock clock;
  FakeLogService log(clock);
  ConfigNode node("n", &clock, &log);
  AuditEntry entry;
  entry.action = "claim";
  for (int index = 0; index < 250; ++index) {
    node.audit.Record(entry);
  }
  log.LoseAnswers(1);
  for (int flush = 0; flush < 4; ++flush) {
    node.audit.FlushOnce();
  }
  const LogBatch batch =
      log.Read(kAuditStream, 1, 10, Duration::zero()).value();
  REQUIRE(batch.records.size() == 3);
  REQUIRE(batch.records[0] == [&] {
    LogRecord repeated = batch.records[1];
    repeated.offset = 1;
    return repeated;
  }());
  REQUIRE(DecodeAuditBatch(batch.records[0].payload).value().size() == 200);
  REQUIRE(DecodeAuditBatch(batch.records[2].payload).value().size() == 50);
  REQUIRE(node.board.audit.Read()->entries.size() == 250);

  log.SetDown(true);
  for (int index = 0; index < 2001; ++index) {
    node.audit.Record(entry);
  }
  REQUIRE(node.metrics.GetCounter("kumquatcart_audit_dropped_total").Value() ==
          1);
}

}  // namespace
}  // namespace kumquatcart
