#include "routing/server_limit_table.h"

#include <algorithm>
#include <limits>

namespace kumquatcart {

namespace {

double RateOf(const ServerLimit& limit) {
  return limit.per_second.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

const KnownServerLimit* ServerLimitTable::FindLimit(
    const std::string& server) const {
  const auto found = this->limits.find(server);
  return found == this->limits.end() || !found->second.limit.per_second
             ? nullptr
             : &found->second;
}

void ServerLimitTable::Change(const std::string& server,
                              std::optional<double> per_second,
                              MonotonicTime now) {
  const std::int64_t started_ms = this->LatestStart(server);
  KnownServerLimit& known = this->limits[server];
  known = {{server, known.limit.version + 1, per_second, started_ms}, now};
}

bool ServerLimitTable::NoteAnswer(const std::string& server,
                                  std::optional<double> per_second,
                                  bool sent_under_limit,
                                  MonotonicTime now) {
  if (!per_second) {
    return sent_under_limit && this->End(server, now);
  }
  const auto found = this->limits.find(server);
  if (found != this->limits.end() &&
      found->second.limit.per_second == per_second) {
    found->second.received_at = now;
    return false;
  }
  this->Change(server, per_second, now);
  return true;
}

bool ServerLimitTable::End(const std::string& server, MonotonicTime now) {
  if (this->FindLimit(server) == nullptr) {
    return false;
  }
  this->Change(server, std::nullopt, now);
  return true;
}

bool ServerLimitTable::HandleStart(const std::string& server,
                                   std::int64_t started_ms,
                                   MonotonicTime now) {
  std::int64_t& start = this->starts[server];
  const auto found = this->limits.find(server);
  const std::int64_t stated =
      found == this->limits.end() ? 0 : found->second.limit.started_ms;
  const std::int64_t limit_start = stated == 0 ? start : stated;
  start = std::max(start, started_ms);
  return limit_start != 0 && limit_start < started_ms && this->End(server, now);
}

std::int64_t ServerLimitTable::LatestStart(const std::string& server) const {
  const auto start = this->starts.find(server);
  const auto known = this->limits.find(server);
  return std::max(
      start == this->starts.end() ? 0 : start->second,
      known == this->limits.end() ? 0 : known->second.limit.started_ms);
}

bool ServerLimitTable::Merge(const ServerLimit& limit, MonotonicTime now) {
  const auto found = this->limits.find(limit.server);
  const bool is_known = found != this->limits.end();
  const bool is_outdated = limit.started_ms != 0 &&
                           limit.started_ms < this->LatestStart(limit.server);
  if (is_outdated || (!is_known && !limit.per_second)) {
    return false;
  }
  if (is_known) {
    const ServerLimit& own = found->second.limit;
    const bool is_of_same_start = limit.started_ms == 0 ||
                                  own.started_ms == 0 ||
                                  limit.started_ms == own.started_ms;
    if (is_of_same_start &&
        (limit.version < own.version ||
         (limit.version == own.version && RateOf(limit) >= RateOf(own)))) {
      return false;
    }
  }
  this->limits[limit.server] = {limit, now};
  return true;
}

std::vector<ServerLimit> ServerLimitTable::NextReport(std::size_t max_count) {
  std::vector<ServerLimit> report;
  auto next = this->limits.upper_bound(this->last_reported);
  for (std::size_t checked = 0;
       checked < this->limits.size() && report.size() < max_count; ++checked) {
    if (next == this->limits.end()) {
      next = this->limits.begin();
    }
    if (this->starts.count(next->first) > 0) {
      report.push_back(next->second.limit);
    }
    this->last_reported = next->first;
    ++next;
  }
  return report;
}

void ServerLimitTable::DropStale(
    MonotonicTime oldest,
    const std::function<bool(const std::string&)>& exists) {
  for (auto entry = this->limits.begin(); entry != this->limits.end();) {
    const KnownServerLimit& known = entry->second;
    const bool is_unused =
        !known.limit.per_second || !exists(known.limit.server);
    entry = is_unused && known.received_at < oldest ? this->limits.erase(entry)
                                                    : std::next(entry);
  }
  for (auto start = this->starts.begin(); start != this->starts.end();) {
    start = exists(start->first) ? std::next(start) : this->starts.erase(start);
  }
}

}  // namespace kumquatcart
