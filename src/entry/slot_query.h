// What a request needs of a server.
#ifndef ENTRY_SLOT_QUERY_H_
#define ENTRY_SLOT_QUERY_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// A request's requirements for a slot at a server.
struct SlotQuery {
  std::string service;
  std::string model;               // Empty for plain services.
  std::set<std::string> excluded;  // Ids of servers not to use.
  std::int64_t prompt_tokens = 0;
  Duration gap_target{0};      // Target for the longest pause between events.
  MonotonicTime latest_start;  // Latest start that meets the latency target.
  MonotonicTime wait_until;    // Latest time at which a slot is useful.
};

}  // namespace kumquatcart

#endif  // ENTRY_SLOT_QUERY_H_
