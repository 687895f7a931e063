// Limit on the requests per second that a backend server accepts.
#ifndef MODEL_SERVER_LIMIT_H_
#define MODEL_SERVER_LIMIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/comparable.h"

namespace kumquatcart {

// The limit that a server names in its answers. It holds for the requests of
// all entry VMs together.
struct ServerLimit {
  std::string server;
  // Counts the changes of this server's limit; the VMs agree on the highest.
  std::int64_t version = 0;
  std::optional<double> per_second;  // None: the server has ended its limit.
  // Unix time of the server's start to which it applies; 0 where not given.
  std::int64_t started_ms = 0;

  auto Tie() const {
    return std::tie(this->server, this->version, this->per_second,
                    this->started_ms);
  }
};

}  // namespace kumquatcart

#endif  // MODEL_SERVER_LIMIT_H_
