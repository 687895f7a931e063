#include "gateway/claim_record.h"

#include <utility>

namespace kumquatcart {

ClaimTable::ClaimTable(Duration window) : window(window) {}

void ClaimTable::Apply(const ClaimRecord& record, std::int64_t time_unix_ms) {
  this->Forget(time_unix_ms - ToMillis(this->window));
  for (const ClaimEntry& entry : record.entries) {
    this->ApplyEntry(entry, time_unix_ms);
  }
}

const ClaimStatus* ClaimTable::Find(const ClaimKey& key) const {
  const auto found = this->claims.find(key);
  return found == this->claims.end() ? nullptr : &found->second;
}

std::vector<ClaimEntry> ClaimTable::EntriesMissingIn(
    const ClaimTable& other) const {
  std::vector<ClaimEntry> entries;
  for (const auto& [key, status] : this->claims) {
    if (other.Find(key) != nullptr) {
      continue;
    }
    ClaimEntry claim;
    claim.key = key;
    claim.claim = status.claim;
    claim.digest = status.digest;
    entries.push_back(std::move(claim));
    if (status.settled) {
      ClaimEntry settlement;
      settlement.kind = ClaimEntry::Kind::kSettle;
      settlement.key = key;
      settlement.claim = status.claim;
      settlement.outcome = status.outcome;
      settlement.answer = status.answer;
      entries.push_back(std::move(settlement));
    }
  }
  return entries;
}

void ClaimTable::ApplyEntry(const ClaimEntry& entry,
                            std::int64_t time_unix_ms) {
  const auto found = this->claims.find(entry.key);
  if (entry.kind == ClaimEntry::Kind::kClaim) {
    if (found != this->claims.end()) {
      return;
    }
    ClaimStatus status;
    status.claim = entry.claim;
    status.digest = entry.digest;
    status.claimed_at_unix_ms = time_unix_ms;
    this->claims.emplace(entry.key, std::move(status));
    this->by_time.push_back(Made{time_unix_ms, entry.key, entry.claim});
    return;
  }
  const bool of_winner = found != this->claims.end() &&
                         found->second.claim == entry.claim &&
                         !found->second.settled;
  if (!of_winner) {
    return;
  }
  if (entry.outcome == RequestOutcome::kNotRun) {
    this->claims.erase(found);
    return;
  }
  found->second.settled = true;
  found->second.outcome = entry.outcome;
  found->second.answer = entry.answer;
}

void ClaimTable::Forget(std::int64_t before_unix_ms) {
  while (!this->by_time.empty() &&
         this->by_time.front().time_unix_ms < before_unix_ms) {
    const Made& oldest = this->by_time.front();
    const auto found = this->claims.find(oldest.key);
    if (found != this->claims.end() && found->second.claim == oldest.claim) {
      this->claims.erase(found);
    }
    this->by_time.pop_front();
  }
}

}  // namespace kumquatcart
