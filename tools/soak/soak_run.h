// One soak from its start to its verdict.
#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

#include <string>
#include <vector>

#include "soak/soak_world.h"

namespace kumquatcart::soak {

struct SoakReport {
  std::vector<std::string> broken;  // Promises that were broken, in words.
  int faults = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int told_to_wait = 0;         // Rejections with a Retry-After.
  int ended_under_prompts = 0;  // Servers.
  // Answers that were bound to versions of the configuration.
  int config_answers = 0;
  FullestWindow repeats;  // At the service that came closest to its bound.
  int given_too_long =
      0;              // Requests whose servers got more time than was left.
  int rollbacks = 0;  // Of the store.
  int most_store_calls = 0;  // In any second.
  int median_store_calls = 0;
};

// Faults for the settings' length, then a calm end in which everything must
// come back. Blocks; starts processes and ends them.
SoakReport RunSoak(const SoakSettings& settings);

}  // namespace kumquatcart::soak

#endif  // SOAK_SOAK_RUN_H_
