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
};

// `require_counts`: a run whose execution counts could not be had fails.
Summary Summarise(const RunRecord& record,
                  const ExecutionFindings& executions,
                  const GroupUsage& usage,
                  bool require_counts);

// Renders the report as text for people.
std::string RenderText(const Summary& summary);

}  // namespace kumquatcart::load

#endif  // LOAD_SUMMARY_H_
