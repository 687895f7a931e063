// In which order waiting requests get the places that become free.
#ifndef ROUTING_WAITING_LINE_H_
#define ROUTING_WAITING_LINE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart {

// A request that waits for a place.
struct WaitingRequest {
  std::string model;
  // Latest time at which a place lets it meet its target.
  MonotonicTime latest_start;
  MonotonicTime since;  // When it began to wait.

  auto Tie() const {
    return std::tie(this->model, this->latest_start, this->since);
  }
};

// Whether `request` would be late if it began at `now`. Thread safe.
bool IsLate(const WaitingRequest& request, MonotonicTime now);

// Answers the load after an outage, when those who have waited through it come
// together with new callers: an answer that is late anyway is worth the same a
// second later, while a new request in its place can still be on time. So
// requests that can meet their target go first, the most pressing one of them
// foremost; late ones follow in order of arrival. Thread safe.
bool GoesBefore(const WaitingRequest& left,
                const WaitingRequest& right,
                MonotonicTime now);

}  // namespace kumquatcart

#endif  // ROUTING_WAITING_LINE_H_
