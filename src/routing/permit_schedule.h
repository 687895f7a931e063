// Allocation of a server's limited request rate to entry VMs.
#ifndef ROUTING_PERMIT_SCHEDULE_H_
#define ROUTING_PERMIT_SCHEDULE_H_

#include <functional>
#include <map>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart {

// The rate at which a server's permits become usable.
struct PermitRate {
  double per_second = 0;
  // Whether the sum over all VMs must hold in any second. Permits are then
  // reserved shortly before they are usable and last shortly; a VM that has let
  // its turn pass begins anew, so that many of them do not send together; and
  // a rate near zero gives no request now and then.
  bool is_strict = false;

  auto Tie() const { return std::tie(this->per_second, this->is_strict); }
};

// How long a permit may be used after it has become usable. Thread safe.
Duration PermitLifetime(bool is_strict);

// Permits to send one request each. They become usable one after the other.
struct PermitOffer {
  int count = 0;
  // Until the first one is usable. If `count` is 0: until one may be available.
  Duration first_in{0};
  Duration interval{0};  // Between two of them.

  auto Tie() const {
    return std::tie(this->count, this->first_in, this->interval);
  }
};

// Spaces the permits of each server evenly at its rate. Permits that nobody
// requests are not saved up, so that any interval holds at most one more than
// the rate allows. Not thread safe.
class PermitSchedule {
 public:
  // `draw` returns uniform random numbers, 0 up to 1.
  explicit PermitSchedule(std::function<double()> draw)
      : draw(std::move(draw)) {}

  // Reserves up to `wanted` permits of `server` that are usable soon, at
  // `rate`.
  //
  // The first permit of a server comes after a random part of the interval. VMs
  // that begin to allocate at the same moment, or one that takes over from
  // another, so keep to the rate on average.
  PermitOffer Reserve(const std::string& server,
                      const PermitRate& rate,
                      int wanted,
                      MonotonicTime now);

  // Forgets servers without a call of Reserve() since `oldest`.
  void DropUnused(MonotonicTime oldest);

 private:
  struct ServerState {
    MonotonicTime last_permit;
    MonotonicTime used_at;
  };

  const std::function<double()> draw;
  std::map<std::string, ServerState> servers;
};

}  // namespace kumquatcart

#endif  // ROUTING_PERMIT_SCHEDULE_H_
