#include "control/lease_rules.h"

#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "control/lease_constants.h"

namespace kumquatcart {
namespace {

const FailureDomainId kDomain{"brest-a"};

LeaseLogEntry MakeRecord(LeaseRecord::Kind kind,
                         const std::string& holder,
                         FencingNumber fence,
                         Offset expected_last,
                         Offset offset,
                         std::int64_t time_ms) {
  LeaseRecord record;
  record.kind = kind;
  record.failure_domain = kDomain;
  record.holder = NodeId(holder);
  record.fence = fence;
  record.expected_last = expected_last;
  record.duration_ms = 4000;
  return LeaseLogEntry{offset, time_ms, record};
}

// Returns a random history in which most records follow the protocol.
std::vector<LeaseLogEntry> MakeHistory() {
  std::vector<LeaseLogEntry> history;
  LeaseStateMachine leases;
  std::int64_t time_ms = 1'000'000;
  NodeId previous;
  FencingNumber previous_fence = 0;
  const int length = *rc::gen::inRange(20, 120);
  for (Offset offset = 1; offset <= length; ++offset) {
    const LeaseGrant grant = leases.Find(kDomain);
    const int choice = *rc::gen::inRange(0, 10);
    time_ms += *rc::gen::inRange<std::int64_t>(0, 60'000);
    LeaseRecord::Kind kind = LeaseRecord::Kind::kRenew;
    std::string holder = grant.holder.value;
    FencingNumber fence = grant.fence;
    Offset expected = grant.last_record;
    if (choice < 4 || grant.holder.IsEmpty()) {
      kind = LeaseRecord::Kind::kClaim;
      holder = std::string(1, static_cast<char>('a' + choice % 3));
      fence = 0;
      expected -= choice == 3 ? 1 : 0;  // A concurrent record came first.
    } else if (choice == 4) {
      holder =
          previous.value;  // A former holder that has not read the newer claim.
      fence = previous_fence;
    } else if (choice == 5) {
      kind = LeaseRecord::Kind::kRelease;
    }
    const LeaseLogEntry entry =
        MakeRecord(kind, holder, fence, expected, offset, time_ms);
    if (leases.Apply(entry).effective && grant.holder.value != holder) {
      previous = grant.holder;
      previous_fence = grant.fence;
    }
    history.push_back(entry);
  }
  return history;
}

// Holder according to a reference evaluation that is independent of
// LeaseStateMachine: it scans the history for the last effective claim.
struct ReferenceHolder {
  std::size_t claim = 0;  // Index plus one; zero for none.
  std::int64_t claimable_from_ms = 0;
};

ReferenceHolder EvaluateByReference(const std::vector<LeaseLogEntry>& history,
                                    std::size_t count,
                                    std::vector<bool>* effective) {
  ReferenceHolder holder;
  for (std::size_t i = 0; i < count; ++i) {
    const LeaseLogEntry& entry = history[i];
    const std::int64_t until = entry.time_unix_ms + 4000 + kLeaseClockMarginMs;
    const Offset last = i == 0 ? kNoOffset : history[i - 1].offset;
    const bool held = holder.claim > 0;
    bool counts = false;
    if (entry.record.kind == LeaseRecord::Kind::kClaim) {
      const bool own = held && history[holder.claim - 1].record.holder ==
                                   entry.record.holder;
      counts = entry.record.expected_last == last &&
               (!held || own || entry.time_unix_ms >= holder.claimable_from_ms);
      holder = counts ? ReferenceHolder{i + 1, until} : holder;
    } else {
      counts = held && history[holder.claim - 1].offset == entry.record.fence &&
               history[holder.claim - 1].record.holder == entry.record.holder;
      if (counts && entry.record.kind == LeaseRecord::Kind::kRelease) {
        holder = ReferenceHolder();
      } else if (counts) {
        holder.claimable_from_ms = until;
      }
    }
    effective->push_back(counts);
  }
  return holder;
}

TEST_CASE("results match a reference evaluation over the whole history") {
  rc::prop("same results", [] {
    const std::vector<LeaseLogEntry> history = MakeHistory();
    std::vector<bool> expected_effective;
    EvaluateByReference(history, history.size(), &expected_effective);
    LeaseStateMachine leases;
    for (std::size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(leases.Apply(history[i]).effective == expected_effective[i]);
    }
  });
}

TEST_CASE(
    "a node that starts from the retained records reaches the same results") {
  rc::prop("same results after the maximum record age", [] {
    const std::vector<LeaseLogEntry> history = MakeHistory();
    const std::size_t start = *rc::gen::inRange<std::size_t>(0, history.size());
    LeaseStateMachine whole;
    LeaseStateMachine part;
    for (std::size_t i = 0; i < history.size(); ++i) {
      const bool effective = whole.Apply(history[i]).effective;
      if (i < start) {
        continue;
      }
      const bool part_effective = part.Apply(history[i]).effective;
      if (history[i].time_unix_ms >=
          history[start].time_unix_ms + kLeaseRecordMaxAgeMs) {
        RC_ASSERT(part_effective == effective);
        RC_ASSERT(part.Find(kDomain).fence == whole.Find(kDomain).fence);
      }
    }
  });
}

TEST_CASE("a claim over a live lease waits for duration and margin") {
  LeaseStateMachine leases;
  const auto claim = LeaseRecord::Kind::kClaim;
  REQUIRE(leases.Apply(MakeRecord(claim, "a", 0, 0, 1, 10'000)).effective);
  REQUIRE_FALSE(
      leases.Apply(MakeRecord(claim, "b", 0, 1, 2, 14'999)).effective);
  REQUIRE(leases.Apply(MakeRecord(claim, "b", 0, 2, 3, 15'000)).effective);
  REQUIRE(leases.Find(kDomain).fence == 3);
  // The former holder's renewal has no effect.
  REQUIRE_FALSE(
      leases.Apply(MakeRecord(LeaseRecord::Kind::kRenew, "a", 1, 3, 4, 15'001))
          .effective);
}

TEST_CASE(
    "a claim that expects no record waits until the last record expires") {
  LeaseStateMachine leases;
  const auto claim = LeaseRecord::Kind::kClaim;
  REQUIRE(leases.Apply(MakeRecord(claim, "a", 0, 0, 1, 0)).effective);
  REQUIRE_FALSE(
      leases.Apply(MakeRecord(claim, "b", 0, 0, 2, kLeaseRecordMaxAgeMs - 1))
          .effective);
  REQUIRE(
      leases.Apply(MakeRecord(claim, "b", 0, 0, 3, 2 * kLeaseRecordMaxAgeMs))
          .effective);
}

}  // namespace
}  // namespace kumquatcart
