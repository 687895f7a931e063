// Server limits in messages between entry VMs.
#ifndef PEERS_SERVER_LIMIT_CODEC_H_
#define PEERS_SERVER_LIMIT_CODEC_H_

#include <cmath>

#include "base/json.h"
#include "model/server_limit.h"

namespace kumquatcart {

// An array of the server, the version, the rate, which is null once the limit
// has ended, and the server's start, which VMs of an earlier version leave out.
// Thread safe.
inline Json EncodeServerLimit(const ServerLimit& limit) {
  return Json::array(
      {limit.server, limit.version,
       limit.per_second ? Json(*limit.per_second) : Json(nullptr),
       limit.started_ms});
}

// Throws Json::exception if `json` holds no limit. Thread safe.
inline ServerLimit DecodeServerLimit(const Json& json) {
  ServerLimit limit;
  limit.server = json.at(0).get<std::string>();
  limit.version = json.at(1).get<std::int64_t>();
  if (!json.at(2).is_null()) {
    limit.per_second = std::fmax(0.0, json.at(2).get<double>());  // NaN: 0.
  }
  if (json.size() > 3) {
    limit.started_ms = json.at(3).get<std::int64_t>();
  }
  return limit;
}

}  // namespace kumquatcart

#endif  // PEERS_SERVER_LIMIT_CODEC_H_
