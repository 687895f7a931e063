// Settings for monitoring the platform's VM list and the backend servers.
#ifndef CONTROL_WATCH_SETTINGS_H_
#define CONTROL_WATCH_SETTINGS_H_

#include <string>

#include "base/clock.h"
#include "base/setting.h"

namespace kumquatcart {

// Values of `scope`: VMs that this node polls.
inline constexpr char kWatchScopeOwn[] = "own";
inline constexpr char kWatchScopeAll[] = "all";

struct WatchSettings {
  Duration vm_list_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::milliseconds(250);
  Duration poll_timeout = std::chrono::milliseconds(400);
  // Time without a status after which a backend server is lost. Together with
  // `group_interval` it bounds the time until routing excludes its group.
  Duration lost_after = std::chrono::milliseconds(700);
  Duration group_interval = std::chrono::milliseconds(100);
  std::string scope = kWatchScopeOwn;
};

// Precondition: `settings` outlives the result.
SettingGroup DescribeSettings(WatchSettings* settings);

}  // namespace kumquatcart

#endif  // CONTROL_WATCH_SETTINGS_H_
