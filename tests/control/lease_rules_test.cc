#include "control/lease_rules.h"

#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "control/lease_constants.h"

namespace kumquatcart {
namespace {

const FailureDomainId kDomain{"brest-a"};

PlacedLeaseRecord MakeRecord(LeaseRecord::Kind kind,
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
  return PlacedLeaseRecord{offset, time_ms, record};
}

// Returns a random history in which most records follow the protocol.
std::vector<PlacedLeaseRecord> MakeHistory() {
  std::vector<PlacedLeaseRecord> history;
  LeaseLedger ledger;
  std::int64_t time_ms = 1'000'000;
  NodeId previous;
  FencingNumber previous_fence = 0;
  const int length = *rc::gen::inRange(20, 120);
  for (Offset offset = 1; offset <= length; ++offset) {
    const LeaseGrant grant = ledger.Find(kDomain);
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
    const PlacedLeaseRecord placed =
        MakeRecord(kind, holder, fence, expected, offset, time_ms);
    if (ledger.Apply(placed).effective && grant.holder.value != holder) {
      previous = grant.holder;
      previous_fence = grant.fence;
    }
    history.push_back(placed);
  }
  return history;
}

// Holder according to a reference evaluation that is independent of
// LeaseStateMachine: it scans the history for the last effective claim.
struct NaiveHolder {
  std::size_t claim = 0;  // Index plus one; zero for none.
  std::int64_t live_until_ms = 0;
};

NaiveHolder NaiveFold(const std::vector<PlacedLeaseRecord>& history,
                      std::size_t count,
                      std::vector<bool>* effective) {
  NaiveHolder holder;
  for (std::size_t i = 0; i < count; ++i) {
    const PlacedLeaseRecord& placed = history[i];
    const std::int64_t until = placed.time_unix_ms + 4000 + kLeaseMarginMs;
    const Offset last = i == 0 ? kNoOffset : history[i - 1].offset;
    const bool held = holder.claim > 0;
    bool counts = false;
    if (placed.record.kind == LeaseRecord::Kind::kClaim) {
      const bool own = held && history[holder.claim - 1].record.holder ==
                                   placed.record.holder;
      counts = placed.record.expected_last == last &&
               (!held || own || placed.time_unix_ms >= holder.live_until_ms);
      holder = counts ? NaiveHolder{i + 1, until} : holder;
    } else {
      counts = held &&
               history[holder.claim - 1].offset == placed.record.fence &&
               history[holder.claim - 1].record.holder == placed.record.holder;
      if (counts && placed.record.kind == LeaseRecord::Kind::kRelease) {
        holder = NaiveHolder();
      } else if (counts) {
        holder.live_until_ms = until;
      }
    }
    effective->push_back(counts);
  }
  return holder;
}

TEST_CASE("results match a reference evaluation over the whole history") {
  rc::prop("same results", [] {
    const std::vector<PlacedLeaseRecord> history = MakeHistory();
    std::vector<bool> naive;
    NaiveFold(history, history.size(), &naive);
    LeaseLedger ledger;
    for (std::size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(ledger.Apply(history[i]).effective == naive[i]);
    }
  });
}

TEST_CASE(
    "a node that starts from the retained records reaches the same results") {
  rc::prop("same results after the maximum record age", [] {
    const std::vector<PlacedLeaseRecord> history = MakeHistory();
    const std::size_t start = *rc::gen::inRange<std::size_t>(0, history.size());
    LeaseLedger whole;
    LeaseLedger part;
    for (std::size_t i = 0; i < history.size(); ++i) {
      const bool effective = whole.Apply(history[i]).effective;
      if (i < start) {
        continue;
      }
      const bool judged = part.Apply(history[i]).effective;
      if (history[i].time_unix_ms >=
          history[start].time_unix_ms + kLeaseForgetMs) {
        RC_ASSERT(judged == effective);
        RC_ASSERT(part.Find(kDomain).fence == whole.Find(kDomain).fence);
      }
    }
  });
}

TEST_CASE("a claim over a live lease waits for duration and margin") {
  LeaseLedger ledger;
  const auto claim = LeaseRecord::Kind::kClaim;
  REQUIRE(ledger.Apply(MakeRecord(claim, "a", 0, 0, 1, 10'000)).effective);
  REQUIRE_FALSE(
      ledger.Apply(MakeRecord(claim, "b", 0, 1, 2, 14'999)).effective);
  REQUIRE(ledger.Apply(MakeRecord(claim, "b", 0, 2, 3, 15'000)).effective);
  REQUIRE(ledger.Find(kDomain).fence == 3);
  // The former holder's renewal has no effect.
  REQUIRE_FALSE(
      ledger.Apply(MakeRecord(LeaseRecord::Kind::kRenew, "a", 1, 3, 4, 15'001))
          .effective);
}

TEST_CASE(
    "a claim that expects no record waits until the last record expires") {
  LeaseLedger ledger;
  const auto claim = LeaseRecord::Kind::kClaim;
  REQUIRE(ledger.Apply(MakeRecord(claim, "a", 0, 0, 1, 0)).effective);
  REQUIRE_FALSE(
      ledger.Apply(MakeRecord(claim, "b", 0, 0, 2, kLeaseForgetMs - 1))
          .effective);
  REQUIRE(ledger.Apply(MakeRecord(claim, "b", 0, 0, 3, 2 * kLeaseForgetMs))
              .effective);
}

}  // namespace
}  // namespace kumquatcart
