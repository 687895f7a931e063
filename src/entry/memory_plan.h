// Shares a VM's memory and descriptors among their uses.
#ifndef ENTRY_MEMORY_PLAN_H_
#define ENTRY_MEMORY_PLAN_H_

#include <cstddef>

#include "base/outcome.h"
#include "platform/process_settings.h"

namespace kumquatcart {

struct MemoryPlan {
  // Callers' connections and requests.
  std::size_t caller_bytes = 0;
  // Answers of servers that are buffered until they are complete.
  std::size_t answer_bytes = 0;
  // Callers' connections at once.
  std::size_t caller_connections = 0;
};

// Thread safe.
MemoryPlan PlanMemory(const ProcessSettings& settings);

// Errors: kInvalidArgument if the settings leave no room for one request at the
// default limits. Thread safe.
Status CheckMemory(const ProcessSettings& settings);

}  // namespace kumquatcart

#endif  // ENTRY_MEMORY_PLAN_H_
