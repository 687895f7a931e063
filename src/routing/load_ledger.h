// This node's own attempts at one backend server, now and a little while ago.
#ifndef ROUTING_LOAD_LEDGER_H_
#define ROUTING_LOAD_LEDGER_H_

#include <deque>

#include "base/clock.h"
#include "model/engine.h"

namespace kumquatcart {

// Corrects lagged load reports by what this node started and finished since.
// Not thread safe.
class LoadLedger {
 public:
  // Remembers past counts for `memory`; a report older than that is corrected
  // as if it were that old.
  explicit LoadLedger(Duration memory);

  // Counts an attempt that begins. Precondition: `now` never goes back.
  void Start(MonotonicTime now);

  // Counts an attempt that ends. One without a Start is ignored.
  void Finish(MonotonicTime now);

  // Attempts in flight now.
  int InFlight() const;

  // Attempts that were in flight at `when`.
  int InFlightAt(MonotonicTime when) const;

  // Streams at the backend server now, of all nodes: the report, plus this
  // node's change since the report was made. Never below this node's own
  // attempts.
  double Estimate(const EngineLoad& reported, MonotonicTime now) const;

 private:
  // In-flight count from `since` on.
  struct Step {
    MonotonicTime since;
    int in_flight = 0;
  };

  void Append(MonotonicTime now, int in_flight);

  Duration memory;
  std::deque<Step> steps;
};

}  // namespace kumquatcart

#endif  // ROUTING_LOAD_LEDGER_H_
