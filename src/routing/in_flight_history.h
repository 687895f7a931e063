// Recent history of this node's in-flight attempts at one backend server.
#ifndef ROUTING_IN_FLIGHT_HISTORY_H_
#define ROUTING_IN_FLIGHT_HISTORY_H_

#include <deque>

#include "base/clock.h"
#include "model/engine.h"

namespace kumquatcart {

// Corrects outdated load reports by the attempts that this node has started and
// finished since. Not thread safe.
class InFlightHistory {
 public:
  // Keeps past counts for `history`; an older report is corrected as if it were
  // that old.
  explicit InFlightHistory(Duration history);

  // Counts an attempt that starts. Precondition: `now` does not decrease
  // between calls of Start and Finish.
  void Start(MonotonicTime now);

  // Counts an attempt that ends. Ignored if no attempt is in flight.
  void Finish(MonotonicTime now);

  // Attempts in flight now.
  int InFlight() const;

  // Attempts that were in flight at `when`.
  int InFlightAt(MonotonicTime when) const;

  // Estimated streams of all nodes at the backend server: the reported load
  // plus the change of this node's attempts since the report. At least the
  // number of this node's attempts.
  double Estimate(const EngineLoad& reported, MonotonicTime now) const;

 private:
  // In-flight count from `since` on.
  struct Step {
    MonotonicTime since;
    int in_flight = 0;
  };

  void Append(MonotonicTime now, int in_flight);

  Duration history;
  std::deque<Step> steps;
};

}  // namespace kumquatcart

#endif  // ROUTING_IN_FLIGHT_HISTORY_H_
