#include "entry/memory_plan.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/metrics.h"
#include "entry/entry_constants.h"
#include "entry/request_memory.h"
#include "model/routing_config.h"

namespace kumquatcart {

namespace {

// The process itself: its code, the configuration, servers and peers.
constexpr std::size_t kProcessBytes = 32 * 1024 * 1024;
// Of the rest, the parts of callers and of buffered answers. What remains is
// for the store's and the peers' messages and for the allocator.
constexpr std::size_t kCallersDivisor = 2;
constexpr std::size_t kAnswersDivisor = 4;
// Of the callers' part, that of their connections.
constexpr std::size_t kConnectionsDivisor = 2;
// Descriptors that the platform keeps for files.
constexpr std::size_t kFileDescriptors = 200;
// Descriptors of the store, peers, readiness, metrics, orders and probes.
constexpr std::size_t kOwnDescriptors = 64;
// A caller's request takes a connection to a server.
constexpr std::size_t kDescriptorsPerCaller = 2;

std::size_t Beyond(std::size_t all, std::size_t kept) {
  return all > kept ? all - kept : 0;
}

}  // namespace

MemoryPlan PlanMemory(const ProcessSettings& settings) {
  const std::size_t rest = Beyond(settings.memory_bytes, kProcessBytes);
  MemoryPlan plan;
  plan.caller_bytes = rest / kCallersDivisor;
  plan.answer_bytes =
      std::min(rest / kAnswersDivisor, kMaxAllBufferedAnswerBytes);
  const std::size_t by_descriptors =
      Beyond(settings.descriptors, kFileDescriptors + kOwnDescriptors) /
      kDescriptorsPerCaller;
  plan.caller_connections =
      std::min(by_descriptors, plan.caller_bytes / kConnectionsDivisor /
                                   kCallerConnectionBytes);
  return plan;
}

Status CheckMemory(const ProcessSettings& settings) {
  const MemoryPlan plan = PlanMemory(settings);
  if (plan.caller_connections == 0) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("settings: max_fds {} leaves no descriptor for a caller",
                    settings.descriptors));
  }
  MetricRegistry metrics;
  MemoryBudget budget(Beyond(plan.caller_bytes, kCallerConnectionBytes));
  if (!RequestMemory(&budget, &metrics)
           .CanEverHold(CallerLimits{}.body_bytes)) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        fmt::format("settings: memory_mb {} leaves no room for one request of "
                    "{} bytes",
                    settings.memory_bytes / kBytesPerMegabyte,
                    CallerLimits{}.body_bytes));
  }
  return Ok();
}

}  // namespace kumquatcart
