// Settings of the platform's HTTP clients.
#ifndef PLATFORM_PLATFORM_SETTINGS_H_
#define PLATFORM_PLATFORM_SETTINGS_H_

#include <chrono>

#include "base/clock.h"
#include "base/setting.h"

namespace kumquatcart {

// Hard bounds on how long one call may take.
struct PlatformSettings {
  Duration append_timeout = std::chrono::seconds(3);
  // Added to the time a read waits for new records.
  Duration read_timeout = std::chrono::seconds(3);
  Duration list_timeout = std::chrono::seconds(2);
};

// Precondition: `settings` outlives the group.
SettingGroup DescribeSettings(PlatformSettings* settings);

}  // namespace kumquatcart

#endif  // PLATFORM_PLATFORM_SETTINGS_H_
