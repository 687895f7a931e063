// This node's own attempts at each backend server, now and a little while ago.
#ifndef ROUTING_LOAD_LEDGER_H_
#define ROUTING_LOAD_LEDGER_H_

#include <cstddef>
#include <deque>
#include <map>

#include "base/clock.h"
#include "model/engine.h"
#include "routing/backend_id.h"

namespace kumquatcart {

// Corrects lagged load reports by what this node started and finished since.
// Not thread safe.
class LoadLedger {
 public:
  // Remembers past counts for `memory`; a report older than that is corrected
  // as if it were that old.
  explicit LoadLedger(Duration memory);

  // Counts an attempt that begins. Precondition: `now` never goes back.
  void Start(const BackendId& backend, MonotonicTime now);

  // Counts an attempt that ends. One without a Start is ignored.
  void Finish(const BackendId& backend, MonotonicTime now);

  // Attempts in flight now.
  int InFlight(const BackendId& backend) const;

  // Attempts that were in flight at `when`.
  int InFlightAt(const BackendId& backend, MonotonicTime when) const;

  // Streams at the backend server now, of all nodes: the report, plus this
  // node's change since the report was made. Never below this node's own
  // attempts.
  double Estimate(const BackendId& backend,
                  const EngineLoad& reported,
                  MonotonicTime now) const;

  // Backend servers remembered.
  std::size_t Size() const { return this->histories.size(); }

  // Forgets idle backend servers whose history is past the memory.
  void Prune(MonotonicTime now);

 private:
  // In-flight count from `since` on.
  struct Step {
    MonotonicTime since;
    int in_flight = 0;
  };
  using History = std::deque<Step>;

  void Append(History* history, MonotonicTime now, int in_flight) const;

  const Duration memory;
  std::map<BackendId, History> histories;
};

}  // namespace kumquatcart

#endif  // ROUTING_LOAD_LEDGER_H_
