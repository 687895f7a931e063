// Compares what callers were told with what the backend servers executed.
#ifndef LOAD_EXECUTION_CHECK_H_
#define LOAD_EXECUTION_CHECK_H_

#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "load/run_record.h"
#include "standins/execution_counts.h"

namespace kumquatcart::load {

struct ExecutionFindings {
  bool checked = false;  // The counts could be had.
  // Requests and keys that may run once at most and ran more often.
  std::vector<std::string> doubles;
  // Requests told not-run that ran.
  std::vector<std::string> ran_though_refused;
  // Non-idempotent requests told completed that never ran.
  std::vector<std::string> never_ran;

  auto Tie() const {
    return std::tie(this->checked, this->doubles, this->ran_though_refused,
                    this->never_ran);
  }
};

// Pure.
ExecutionFindings CheckExecutions(const std::vector<SentRequest>& sent,
                                  const standins::ExecutionCounts& counts);

}  // namespace kumquatcart::load

#endif  // LOAD_EXECUTION_CHECK_H_
