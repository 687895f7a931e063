// How often each request was executed, for checks after a run.
#ifndef STANDINS_EXECUTION_COUNTS_H_
#define STANDINS_EXECUTION_COUNTS_H_

#include <map>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"

namespace kumquatcart::standins {

// Answer of GET /executions.
struct ExecutionCounts {
  std::map<std::string, int> by_request;  // Plain service calls, by request id.
  std::map<std::string, int> by_key;      // The same, by Idempotency-Key.
  std::map<std::string, int> generations;  // Streams begun, by request id.

  auto Tie() const {
    return std::tie(this->by_request, this->by_key, this->generations);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ExecutionCounts,
                                                by_request,
                                                by_key,
                                                generations)

}  // namespace kumquatcart::standins

#endif  // STANDINS_EXECUTION_COUNTS_H_
