// Sends planned requests at their time.
#ifndef LOAD_RUNNER_H_
#define LOAD_RUNNER_H_

#include <vector>

#include "base/clock.h"
#include "load/caller_file.h"
#include "load/load_settings.h"
#include "load/run_record.h"
#include "load/schedule.h"

namespace kumquatcart::load {

// Sends every request of `plan` and waits for all answers. Blocks. Latencies
// count from the planned time, so that a slow system does not slow its own
// measurement.
void RunLoad(const LoadSettings& settings,
             const std::vector<Caller>& callers,
             const std::vector<PlannedRequest>& plan,
             Clock* clock,
             RunRecord* record);

}  // namespace kumquatcart::load

#endif  // LOAD_RUNNER_H_
