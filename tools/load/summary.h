// The result of a run and whether every promise held.
#ifndef LOAD_SUMMARY_H_
#define LOAD_SUMMARY_H_

#include <string>

#include "base/json.h"
#include "load/execution_check.h"
#include "load/group_usage.h"
#include "load/run_record.h"

namespace kumquatcart::load {

struct Summary {
  Json report;
  bool promises_held = false;
  // Each kind of request was completed as often as asked for.
  bool enough_completed = false;
};

// What a run has to show to pass, beside the promises.
struct PassMarks {
  bool require_counts = false;  // The execution counts must be had.
  double least_completed = 0;   // Part of each kind of request, 0 to 1.
};

Summary Summarise(const RunRecord& record,
                  const ExecutionFindings& executions,
                  const GroupUsage& usage,
                  const PassMarks& marks);

// Renders the report as text for people.
std::string RenderText(const Summary& summary);

}  // namespace kumquatcart::load

#endif  // LOAD_SUMMARY_H_
