// How long a model request may run.
#ifndef ROUTING_RUN_TIME_BOUND_H_
#define ROUTING_RUN_TIME_BOUND_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "model/routing_config.h"

namespace kumquatcart {

// Longest time from sending a request until its answer has ended, at a group of
// `model` whose slots are all in use and whose servers are healthy. None if the
// model is unknown or the request states no largest output. Thread safe.
std::optional<Duration> LongestRunTime(const EngineSpec& engine,
                                       const std::string& model,
                                       std::int64_t prompt_tokens,
                                       std::int64_t max_output_tokens);

}  // namespace kumquatcart

#endif  // ROUTING_RUN_TIME_BOUND_H_
