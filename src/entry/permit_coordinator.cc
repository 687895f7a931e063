#include "entry/permit_coordinator.h"

#include <algorithm>

namespace kumquatcart {

namespace {

// A node shares a server's rate for this time after it has requested permits.
constexpr Duration kRequesterLifetime = std::chrono::seconds(2);

std::int64_t ToMicros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

void DropOlder(std::map<std::string, MonotonicTime>* times,
               MonotonicTime oldest) {
  for (auto entry = times->begin(); entry != times->end();) {
    entry = entry->second < oldest ? times->erase(entry) : std::next(entry);
  }
}

}  // namespace

int PermitCoordinator::CountRequesters(const std::string& server,
                                       const std::string& requester,
                                       MonotonicTime now) {
  std::map<std::string, MonotonicTime>& times = this->requesters[server];
  times[requester] = now;
  DropOlder(&times, now - kRequesterLifetime);
  return static_cast<int>(times.size());
}

PermitReply PermitCoordinator::Allocate(
    const PermitRequest& request,
    const std::optional<PermitRate>& limit) {
  const MonotonicTime now = this->network->Now();
  const std::string& server = request.limit.server;
  PermitReply reply;
  reply.node = this->node;
  reply.sequence = request.sequence;
  reply.server = server;
  reply.coordinates = this->network->FindCoordinator(server) == this->node;
  if (!reply.coordinates) {
    return reply;
  }
  if (!limit) {
    reply.count = request.wanted;
    return reply;
  }
  reply.nodes = this->CountRequesters(server, request.node, now);
  // Nodes that are cut off use their own part of the rate.
  const NodeCounts counts = this->network->CountNodes();
  const PermitRate rate{
      limit->per_second * counts.live / std::max(counts.live, counts.recent),
      limit->is_strict};
  const PermitOffer offer =
      this->schedule.Reserve(server, rate, request.wanted, now);
  reply.count = offer.count;
  reply.first_in_us = ToMicros(offer.first_in);
  reply.interval_us = ToMicros(offer.interval);
  return reply;
}

void PermitCoordinator::DropUnused(MonotonicTime oldest) {
  this->schedule.DropUnused(oldest);
  for (auto entry = this->requesters.begin();
       entry != this->requesters.end();) {
    DropOlder(&entry->second, oldest);
    entry = entry->second.empty() ? this->requesters.erase(entry)
                                  : std::next(entry);
  }
}

}  // namespace kumquatcart
