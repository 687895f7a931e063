#include "control/config_settings.h"

namespace kumquatcart {

SettingGroup DescribeSettings(ConfigSettings* settings) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  SettingGroup group;
  group.title = "Configuration";
  group.settings = {
      DurationSetting(
          "config-log-poll-wait-ms",
          "Milliseconds that one read of the log waits for a record.",
          &settings->log_poll_wait, milliseconds(1), seconds(60)),
      DurationSetting("config-log-retry-delay-ms",
                      "Milliseconds before a failed read is repeated.",
                      &settings->log_retry_delay, milliseconds(10),
                      seconds(60)),
      IntSetting("config-tail-records",
                 "Change sets kept in memory for peers that lag.",
                 &settings->tail_records, 1, 100'000),
      DurationSetting("config-snapshot-interval-ms",
                      "Milliseconds between snapshots; well below the "
                      "retention of the log.",
                      &settings->snapshot_interval, seconds(1), hours(24)),
      DurationSetting("config-snapshot-stagger-ms",
                      "Milliseconds each further member waits before it writes "
                      "a missing snapshot.",
                      &settings->snapshot_stagger, milliseconds(100), hours(1)),
      IntSetting("config-snapshot-records",
                 "Change sets after which a snapshot is written early.",
                 &settings->snapshot_records, 1, 1'000'000),
      IntSetting("audit-entries", "Audit entries kept in memory.",
                 &settings->audit_entries, 1, 100'000),
      DurationSetting("audit-flush-interval-ms",
                      "Milliseconds between appends to the audit stream.",
                      &settings->audit_flush_interval, milliseconds(100),
                      seconds(60)),
  };
  return group;
}

}  // namespace kumquatcart
