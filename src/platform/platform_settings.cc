#include "platform/platform_settings.h"

#include "platform/platform_constants.h"

namespace kumquatcart {

SettingGroup DescribeSettings(PlatformSettings* settings) {
  return SettingGroup{
      "Platform",
      {DurationSetting("platform-append-timeout-ms",
                       "Longest wait for the answer to a log append, in "
                       "milliseconds",
                       &settings->append_timeout, kLowestPlatformTimeout,
                       kHighestPlatformTimeout),
       DurationSetting("platform-read-timeout-ms",
                       "Longest wait for a log read beyond the wait for new "
                       "records, in milliseconds",
                       &settings->read_timeout, kLowestPlatformTimeout,
                       kHighestPlatformTimeout),
       DurationSetting("platform-list-timeout-ms",
                       "Longest wait for the VM list and the weight store's "
                       "status, in milliseconds",
                       &settings->list_timeout, kLowestPlatformTimeout,
                       kHighestPlatformTimeout)}};
}

}  // namespace kumquatcart
