#include "routing/demand_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace kumquatcart {

namespace {

// Weight of the latest interval in the moving average of a rate.
constexpr double kRateSmoothing = 0.5;

// Relative change of a rate that triggers a push.
constexpr double kPushThreshold = 0.25;

// Rates below this, in units per second, are omitted.
constexpr double kMinRate = 0.01;

// One entry as sent to peers.
struct EntryMessage {
  struct Rate {
    ObjectName organisation;
    ServiceName service;
    double rate = 0;
  };

  NodeId node;
  std::int64_t version = 0;
  std::vector<Rate> rates;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryMessage::Rate,
                                   organisation,
                                   service,
                                   rate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryMessage, node, version, rates)

bool ExceedsPushThreshold(double before, double after) {
  return std::abs(after - before) > kPushThreshold * std::max(before, after);
}

}  // namespace

DemandTable::DemandTable(Clock* clock, NodeId self, Duration retention)
    : clock(clock),
      self(std::move(self)),
      retention(retention),
      interval_start(clock->Now()) {
  this->entries[this->self].updated_at = clock->Now();
}

void DemandTable::Record(const DemandKey& key, double amount) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->pending_demand[key] += amount;
}

bool DemandTable::Publish() {
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const double seconds =
      std::chrono::duration<double>(now - this->interval_start).count();
  if (seconds <= 0) {
    return false;
  }
  Entry& own_entry = this->entries[this->self];
  Rates next;
  for (const auto& [key, rate] : own_entry.rates) {
    next[key] = (1 - kRateSmoothing) * rate;
  }
  for (const auto& [key, amount] : this->pending_demand) {
    next[key] += kRateSmoothing * amount / seconds;
  }
  bool changed = false;
  for (auto entry = next.begin(); entry != next.end();) {
    const auto before = own_entry.rates.find(entry->first);
    const double old_rate =
        before == own_entry.rates.end() ? 0 : before->second;
    changed = changed || ExceedsPushThreshold(old_rate, entry->second);
    entry = entry->second < kMinRate ? next.erase(entry) : std::next(entry);
  }
  own_entry.rates = std::move(next);
  own_entry.updated_at = now;
  ++own_entry.version;
  this->pending_demand.clear();
  this->interval_start = now;
  this->DropExpired();
  return changed;
}

DemandByNode DemandTable::Read(const DemandKey& key) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  DemandByNode demand;
  for (const auto& [node, entry] : this->entries) {
    const auto found = entry.rates.find(key);
    demand[node] = found == entry.rates.end() ? 0 : found->second;
  }
  return demand;
}

std::string DemandTable::Name() const {
  return "demand";
}

Json DemandTable::Digest() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json digest = Json::object();
  for (const auto& [node, entry] : this->entries) {
    digest[node.value] = entry.version;
  }
  return digest;
}

Result<Json> DemandTable::DeltaFor(const Json& digest,
                                   std::size_t max_bytes) const {
  BOOST_OUTCOME_TRY(known,
                    (FromJson<std::map<std::string, std::int64_t>>(digest)));
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json delta = Json::array();
  std::size_t bytes = 0;
  for (const auto& [node, entry] : this->entries) {
    const auto found = known.find(node.value);
    if (found != known.end() && found->second >= entry.version) {
      continue;
    }
    EntryMessage message{node, entry.version, {}};
    for (const auto& [key, rate] : entry.rates) {
      message.rates.push_back({key.organisation, key.service, rate});
    }
    Json encoded = message;
    bytes += Json::to_cbor(encoded).size();
    if (bytes > max_bytes && !delta.empty()) {
      break;
    }
    delta.push_back(std::move(encoded));
  }
  return delta.empty() ? Json() : delta;
}

Result<bool> DemandTable::Merge(const Json& delta) {
  if (delta.is_null()) {
    return false;
  }
  BOOST_OUTCOME_TRY(messages, FromJson<std::vector<EntryMessage>>(delta));
  const MonotonicTime now = this->clock->Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  bool changed = false;
  for (const EntryMessage& message : messages) {
    Entry& entry = this->entries[message.node];
    if (message.node == this->self || message.version <= entry.version) {
      continue;
    }
    entry.version = message.version;
    entry.updated_at = now;
    entry.rates.clear();
    for (const EntryMessage::Rate& rate : message.rates) {
      entry.rates[{rate.organisation, rate.service}] = std::max(0.0, rate.rate);
    }
    changed = true;
  }
  return changed;
}

void DemandTable::DropExpired() {
  const MonotonicTime oldest = this->clock->Now() - this->retention;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const bool expired =
        entry->first != this->self && entry->second.updated_at < oldest;
    entry = expired ? this->entries.erase(entry) : std::next(entry);
  }
}

}  // namespace kumquatcart
