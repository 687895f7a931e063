// This entry VM's part of the repeats that all together may make.
#ifndef ROUTING_REPEAT_ALLOWANCE_H_
#define ROUTING_REPEAT_ALLOWANCE_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Repeats that a deployment allows to each service in any window.
struct RepeatBounds {
  double ratio = 0;  // Of the requests in the window.
  double base = 0;   // Beside those, shared by all entry VMs.
  Duration window{0};
};

// Counts over a sliding window, so that every span of that length keeps the
// bound. Not thread safe.
class RepeatAllowance {
 public:
  explicit RepeatAllowance(RepeatBounds bounds) : bounds(bounds) {}

  // Entry VMs that share the base; at least one.
  void SetNodes(int nodes) { this->nodes = nodes > 0 ? nodes : 1; }

  // Notes a request for `service` that this entry VM took.
  void NoteRequest(const std::string& service, MonotonicTime now);

  // Whether TryTake would take one at `now`.
  bool HasLeft(const std::string& service, MonotonicTime now);

  // Takes one repeat. False when the window holds no more.
  bool TryTake(const std::string& service, MonotonicTime now);

 private:
  struct Counts {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
  };

  void Expire(Counts* counts, MonotonicTime now) const;

  const RepeatBounds bounds;
  int nodes = 1;
  std::map<std::string, Counts> by_service;
};

}  // namespace kumquatcart

#endif  // ROUTING_REPEAT_ALLOWANCE_H_
