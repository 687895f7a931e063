#include "routing/server_backoff_table.h"

#include <algorithm>

namespace kumquatcart {

namespace {

// Time from the end of a backoff on in which requests in progress are bounded.
constexpr Duration kRampTime = std::chrono::seconds(2);
// A server that has accepted this many at once is not bounded further.
constexpr int kMaxRamp = 32;
// A server that the store has lost for a moment is registered again within it.
constexpr Duration kMissingLifetime = std::chrono::seconds(60);
// Mean time between the first requests of two VMs.
constexpr Duration kReturnInterval = std::chrono::milliseconds(20);

}  // namespace

bool ServerBackoffTable::Record(const ServerStart& server, MonotonicTime end) {
  const auto found = this->backoffs.find(server.id);
  if (found != this->backoffs.end() &&
      found->second.started_ms == server.started_ms &&
      found->second.end >= end) {
    return false;
  }
  Backoff backoff;
  backoff.started_ms = server.started_ms;
  backoff.end = end;
  this->backoffs[server.id] = backoff;
  return true;
}

std::optional<MonotonicTime> ServerBackoffTable::FindEnd(
    const std::string& server,
    MonotonicTime now) const {
  const auto found = this->backoffs.find(server);
  return found == this->backoffs.end() || found->second.end <= now
             ? std::nullopt
             : std::optional(found->second.end);
}

std::optional<int> ServerBackoffTable::MaxInProgress(const std::string& server,
                                                     MonotonicTime now) const {
  const auto found = this->backoffs.find(server);
  if (found == this->backoffs.end() || now >= found->second.end + kRampTime) {
    return std::nullopt;
  }
  return now < found->second.end ? 0 : found->second.max_in_progress;
}

void ServerBackoffTable::RecordAccepted(const std::string& server,
                                        MonotonicTime now) {
  const auto found = this->backoffs.find(server);
  // During a backoff, the answer is to an earlier request.
  if (found == this->backoffs.end() || now < found->second.end) {
    return;
  }
  if (++found->second.max_in_progress > kMaxRamp) {
    this->backoffs.erase(found);
  }
}

bool ServerBackoffTable::HandleStart(const ServerStart& server) {
  const auto found = this->backoffs.find(server.id);
  if (found == this->backoffs.end() ||
      found->second.started_ms >= server.started_ms) {
    return false;
  }
  this->backoffs.erase(found);
  return true;
}

void ServerBackoffTable::DropStale(
    MonotonicTime now,
    const std::function<bool(const std::string&)>& exists) {
  for (auto entry = this->backoffs.begin(); entry != this->backoffs.end();) {
    Backoff& backoff = entry->second;
    backoff.missing_since = exists(entry->first)
                                ? MonotonicTime::max()
                                : std::min(backoff.missing_since, now);
    const bool is_stale = now >= backoff.end + kRampTime ||
                          now - kMissingLifetime >= backoff.missing_since;
    entry = is_stale ? this->backoffs.erase(entry) : std::next(entry);
  }
}

Duration ReturnDelay(Duration backoff, int nodes, double draw) {
  // A short backoff is not prolonged to many times its length.
  const Duration spread = std::min(kReturnInterval * (nodes - 1), backoff);
  return std::chrono::duration_cast<Duration>(spread * draw);
}

}  // namespace kumquatcart
