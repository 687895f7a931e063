// Settings of a load run.
#ifndef LOAD_LOAD_SETTINGS_H_
#define LOAD_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "model/vm.h"

namespace kumquatcart::load {

// Part of each kind of request, as weights of any sum.
struct RequestMix {
  double streamed = 5;        // Chat completions, streamed.
  double whole = 1;           // Completions in one body.
  double idempotent = 2;      // Plain service calls that may be repeated.
  double non_idempotent = 1;  // Those that may not, without a key.
  double keyed = 1;           // Those that may not, with a key.
};

struct LoadSettings {
  std::vector<Endpoint> entries;
  Endpoint platform;  // Port zero: no check of execution counts.
  double requests_per_second = 50;
  Duration duration = std::chrono::seconds(10);
  std::uint32_t seed = 1;
  RequestMix mix;
  int max_tokens = 32;
  // Prompts share this many distinct prefixes.
  int prompt_prefixes = 20;
  // Part of the keyed requests that are sent again through another entry VM.
  double repeated_part = 0.5;
  Duration timeout = std::chrono::seconds(10);
  int workers = 128;
  Duration sample_interval = std::chrono::milliseconds(100);
};

}  // namespace kumquatcart::load

#endif  // LOAD_LOAD_SETTINGS_H_
