// Paths and defaults of the platform's HTTP interface.
#ifndef PLATFORM_PLATFORM_CONSTANTS_H_
#define PLATFORM_PLATFORM_CONSTANTS_H_

#include <chrono>

#include "base/clock.h"

namespace kumquatcart {

constexpr char kLogPath[] = "/log/";
constexpr char kVmsPath[] = "/vms";
constexpr char kWeightsPath[] = "/weights";
constexpr char kEngineStatusPath[] = "/engine/status";
constexpr char kEngineOrdersPath[] = "/engine/orders";
constexpr char kEngineGeneratePath[] = "/engine/generate";
constexpr char kEngineCancelPath[] = "/engine/cancel";
constexpr char kEngineCacheEventsPath[] = "/engine/cache-events";
constexpr char kServiceProbePath[] = "/healthz";

// Wait suggested to callers whose append met the platform's rate limit, in
// milliseconds.
constexpr int kAppendRetryAfterMs = 100;

// Bounds of every timeout setting.
constexpr Duration kLowestPlatformTimeout = std::chrono::milliseconds(10);
constexpr Duration kHighestPlatformTimeout = std::chrono::minutes(2);

}  // namespace kumquatcart

#endif  // PLATFORM_PLATFORM_CONSTANTS_H_
