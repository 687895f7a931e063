// One start of a backend server.
#ifndef ROUTING_SERVER_START_H_
#define ROUTING_SERVER_START_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/comparable.h"

namespace kumquatcart {

// A server may start again under the same id.
struct ServerStart {
  std::string id;
  std::int64_t started_ms = 0;  // Unix time; 0 where not given.

  auto Tie() const { return std::tie(this->id, this->started_ms); }
};

}  // namespace kumquatcart

#endif  // ROUTING_SERVER_START_H_
