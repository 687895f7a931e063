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
  KnownServerLimit& known = this->limits[server];
  known = {{server, known.limit.version + 1, per_second}, now};
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

bool ServerLimitTable::Merge(const ServerLimit& limit, MonotonicTime now) {
  const auto found = this->limits.find(limit.server);
  if (found != this->limits.end()) {
    const ServerLimit& own = found->second.limit;
    if (limit.version < own.version ||
        (limit.version == own.version && RateOf(limit) >= RateOf(own))) {
      return false;
    }
  }
  this->limits[limit.server] = {limit, now};
  return true;
}

std::vector<ServerLimit> ServerLimitTable::NextReport(std::size_t max_count) {
  std::vector<ServerLimit> report;
  auto next = this->limits.upper_bound(this->last_reported);
  while (report.size() < std::min(max_count, this->limits.size())) {
    if (next == this->limits.end()) {
      next = this->limits.begin();
    }
    report.push_back(next->second.limit);
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
}

}  // namespace kumquatcart
