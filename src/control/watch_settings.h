// Settings of everything that watches the platform and the backend servers.
#ifndef CONTROL_WATCH_SETTINGS_H_
#define CONTROL_WATCH_SETTINGS_H_

#include <string>

#include "base/clock.h"
#include "base/setting.h"

namespace kumquatcart {

// Which VMs this node watches by itself.
inline constexpr char kWatchScopeOwn[] = "own";
inline constexpr char kWatchScopeAll[] = "all";

struct WatchSettings {
  Duration vm_list_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::milliseconds(250);
  Duration poll_timeout = std::chrono::milliseconds(400);
  // A backend server that was silent for this long is lost. With a refresh of
  // the groups every `group_interval` it bounds the time until routing closes.
  Duration lost_after = std::chrono::milliseconds(700);
  Duration group_interval = std::chrono::milliseconds(100);
  std::string scope = kWatchScopeOwn;
};

// Precondition: `settings` outlives the result.
SettingGroup DescribeSettings(WatchSettings* settings);

}  // namespace kumquatcart

#endif  // CONTROL_WATCH_SETTINGS_H_
