// Limits the loads from the weight store that this VM's orders begin.
#ifndef CONTROL_LOAD_BUDGET_H_
#define CONTROL_LOAD_BUDGET_H_

#include <deque>
#include <optional>
#include <string>

#include "control/group_control_dependencies.h"

namespace kumquatcart {

// What a load is for. Joins of groups come first: each planner may use an equal
// part of the store's rate for them. Standbys get what these leave of a smaller
// part.
enum class LoadPurpose { kGroup, kStandby };

// All planners together keep to the rate of the weight store, without messages:
// there is at most one for each failure domain. Use only on the event loop's
// thread.
class LoadBudget {
 public:
  // `parts` outlives this.
  explicit LoadBudget(const GroupControlDependencies* parts) : parts(parts) {}

  // Returns whether `server` may be ordered to load `model` now, and counts the
  // load if so. A model that is loaded or staged, loads before the first
  // request, and services without a stated rate are not limited.
  bool TryCount(const BackendServer& server,
                const std::string& model,
                LoadPurpose purpose);

  // Takes back the last call that allowed `server` to load `model`, since no
  // order was carried out.
  void Refund(const BackendServer& server, const std::string& model);

 private:
  // Loads per second of the weight store by which a load of `model` on `server`
  // is limited; none if it is not.
  std::optional<double> RateFor(const BackendServer& server,
                                const std::string& model) const;
  // Number of VMs that may order such loads at the same time.
  int CountSharers(LoadPurpose purpose) const;

  const GroupControlDependencies* const parts;
  std::deque<MonotonicTime> load_times;  // Of the loads within the window.
};

}  // namespace kumquatcart

#endif  // CONTROL_LOAD_BUDGET_H_
