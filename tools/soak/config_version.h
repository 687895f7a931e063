// One version of the configuration, as the stand-in of the operator writes it.
#ifndef SOAK_CONFIG_VERSION_H_
#define SOAK_CONFIG_VERSION_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart::soak {

// Found by argument-dependent lookup, also for elements of containers.
using kumquatcart::operator==;
using kumquatcart::operator!=;

// A request that a version handles otherwise than the one before it.
struct ConfigQuestion {
  std::string about;  // What the version changed, such as "moved".
  std::string path;   // Path prefix of the route.
  std::string key;    // API key.

  auto Tie() const { return std::tie(this->about, this->path, this->key); }
};

struct ConfigVersion {
  int number = 0;              // From 1 on.
  MonotonicTime confirmed_at;  // When the store had it.
  // Weights of the services of each route, by path prefix.
  std::map<std::string, std::map<std::string, int>> routes;
  std::set<std::string> keys;
  std::vector<ConfigQuestion> questions;

  auto Tie() const {
    return std::tie(this->number, this->confirmed_at, this->routes, this->keys,
                    this->questions);
  }
};

}  // namespace kumquatcart::soak

#endif  // SOAK_CONFIG_VERSION_H_
