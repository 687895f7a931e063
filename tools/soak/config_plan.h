// Draws the versions of the configuration that a soak writes.
#ifndef SOAK_CONFIG_PLAN_H_
#define SOAK_CONFIG_PLAN_H_

#include <random>
#include <string>
#include <vector>

#include "soak/config_version.h"

namespace kumquatcart::soak {

// Path prefix of the route that version `number` adds.
std::string VersionPath(int number);

// Each version adds a route and a key, moves one route to the other plain
// service, splits another or ends its split, and drops an older added route and
// the key of two versions before. The soak's one thread uses it.
class ConfigPlan {
 public:
  // `services`: the two plain services. `lasting_key`: in every version.
  ConfigPlan(std::uint64_t seed,
             std::vector<std::string> services,
             std::string lasting_key);

  ConfigVersion MakeNext(MonotonicTime confirmed_at);

 private:
  int Draw(int low, int high);
  const std::string& DrawService();
  void AddRoute();
  void MoveRoute();
  void SplitRoute();
  void DropRoute();
  void RotateKeys();
  void Ask(const std::string& about, const std::string& path);

  const std::vector<std::string> services;
  const std::string lasting_key;
  std::minstd_rand generator;
  ConfigVersion current;
  std::vector<std::string> added;  // Not dropped yet, oldest first.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_CONFIG_PLAN_H_
