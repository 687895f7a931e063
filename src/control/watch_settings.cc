#include "control/watch_settings.h"

namespace kumquatcart {

using std::chrono::milliseconds;

SettingGroup DescribeSettings(WatchSettings* settings) {
  SettingGroup group;
  group.title = "Watching";
  group.settings = {
      DurationSetting(
          "vm-list-interval-ms", "Milliseconds between reads of the VM list",
          &settings->vm_list_interval, milliseconds(50), milliseconds(60000)),
      DurationSetting("poll-interval-ms",
                      "Milliseconds between status polls of a backend server",
                      &settings->poll_interval, milliseconds(10),
                      milliseconds(10000)),
      DurationSetting(
          "poll-timeout-ms", "Milliseconds until a status poll times out",
          &settings->poll_timeout, milliseconds(10), milliseconds(10000)),
      DurationSetting("lost-after-ms",
                      "Milliseconds without a status after which a backend "
                      "server counts as lost",
                      &settings->lost_after, milliseconds(50),
                      milliseconds(60000)),
      DurationSetting("group-interval-ms",
                      "Milliseconds between updates of the replica groups",
                      &settings->group_interval, milliseconds(10),
                      milliseconds(1000)),
      ChoiceSetting("watch-scope",
                    "Backend servers this node polls: those of its own failure "
                    "domain, or all",
                    &settings->scope, {kWatchScopeOwn, kWatchScopeAll}),
  };
  return group;
}

}  // namespace kumquatcart
