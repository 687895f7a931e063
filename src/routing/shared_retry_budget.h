// This entry VM's share of the retry budget that all entry VMs have together.
#ifndef ROUTING_SHARED_RETRY_BUDGET_H_
#define ROUTING_SHARED_RETRY_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Retries that a deployment allows for each service in any window.
struct RetryLimits {
  double ratio = 0;  // Retries per request in the window.
  double base = 0;   // Added to these; shared by all entry VMs.
  Duration window{0};
};

// Retry budget over a sliding window: the bound holds in every interval of the
// window's length, over all entry VMs and all starts of their processes. Not
// thread safe.
class SharedRetryBudget {
 public:
  // `started`: when this process started. In the first window after it, nothing
  // of the base is used, since the former process on this VM may have used it.
  SharedRetryBudget(RetryLimits bounds, MonotonicTime started)
      : bounds(bounds), base_usable_at(started + bounds.window) {}

  // Sets the number of entry VMs that may use the base, whether or not this one
  // reaches them. Until then, nothing of the base is used. Returns whether the
  // number has changed. Precondition: `nodes` is at least 1.
  bool SetNodeCount(int nodes) {
    const int before = this->nodes;
    this->nodes = nodes;
    return this->nodes != before;
  }

  // Records a request for `service` that this entry VM accepted.
  void NoteRequest(const std::string& service, MonotonicTime now);

  // Whether TryTake would succeed at `now`. Takes nothing.
  bool HasRetryLeft(const std::string& service, MonotonicTime now);

  // Takes one retry from the budget. False if the window allows no more.
  bool TryTake(const std::string& service, MonotonicTime now);

 private:
  struct Counts {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> retries;
  };

  void DropExpired(Counts* counts, MonotonicTime now) const;
  // This entry VM's share of the base.
  double BaseShare(MonotonicTime now) const;

  const RetryLimits bounds;
  const MonotonicTime base_usable_at;
  int nodes = 0;  // 0: unknown.
  std::map<std::string, Counts> by_service;
};

}  // namespace kumquatcart

#endif  // ROUTING_SHARED_RETRY_BUDGET_H_
