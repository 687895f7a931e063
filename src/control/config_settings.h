// Settings of the configuration follower, the snapshotter and the audit trail.
#ifndef CONTROL_CONFIG_SETTINGS_H_
#define CONTROL_CONFIG_SETTINGS_H_

#include <cstdint>

#include "base/clock.h"
#include "base/setting.h"

namespace kumquatcart {

struct ConfigSettings {
  // Time that one read of the log waits for a new record.
  Duration log_poll_wait = std::chrono::seconds(2);
  // Delay after a failed read.
  Duration log_retry_delay = std::chrono::milliseconds(500);
  // Raw records kept for peers that lag; peers further behind get a snapshot.
  std::int64_t tail_records = 512;
  // Age of the newest snapshot at which a new one is written. Must be well
  // below the platform's retention.
  Duration snapshot_interval = std::chrono::minutes(10);
  // Additional age per rank after which the next member writes the snapshot.
  Duration snapshot_stagger = std::chrono::seconds(20);
  // Change sets since the newest snapshot after which a new one is written
  // before the interval ends.
  std::int64_t snapshot_records = 1000;
  // Entries of the audit trail kept in memory.
  std::int64_t audit_entries = 500;
  // Minimum time between two appends to the audit stream by this node.
  Duration audit_flush_interval = std::chrono::seconds(2);
};

// Precondition: `settings` outlives the result.
SettingGroup DescribeSettings(ConfigSettings* settings);

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_SETTINGS_H_
