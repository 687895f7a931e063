// The operators' view of one entry VM.
#ifndef GATEWAY_STATUS_PAGE_H_
#define GATEWAY_STATUS_PAGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/json.h"
#include "board/board.h"

namespace kumquatcart {

// What the page shows beside the blackboard.
struct StatusFacts {
  bool ready = false;
  std::map<std::string, std::uint64_t> requests;  // By outcome.
  MonotonicTime now;
};

// Renders the page as JSON. Thread safe.
Json RenderStatus(const Board& board, const StatusFacts& facts);

}  // namespace kumquatcart

#endif  // GATEWAY_STATUS_PAGE_H_
