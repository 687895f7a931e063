// Settings of the stand-ins.
#ifndef STANDINS_STANDINS_SETTINGS_H_
#define STANDINS_STANDINS_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace kumquatcart::standins {

struct LogSettings {
  Duration retention = std::chrono::hours(1);
  double appends_per_second = 400;
};

struct EngineSettings {
  std::int64_t weights_bytes_per_vm = 200'000'000;
  Duration first_token = std::chrono::milliseconds(20);
  Duration token_interval = std::chrono::milliseconds(10);
  // Age of reported load.
  Duration load_lag = std::chrono::milliseconds(200);
  int streams_at_once = 16;
  int cached_prefixes = 64;
};

struct StandInsSettings {
  LogSettings log;
  EngineSettings engine;
  Duration vm_list_lag = std::chrono::seconds(1);
  std::int64_t weight_store_bytes_per_second = 1'000'000'000;
  Duration service_delay = std::chrono::milliseconds(3);
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_STANDINS_SETTINGS_H_
