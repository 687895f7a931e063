// Decides when this node writes a configuration snapshot.
#ifndef CONTROL_SNAPSHOT_DUTY_H_
#define CONTROL_SNAPSHOT_DUTY_H_

#include <cstddef>
#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "control/config_settings.h"
#include "model/log_record.h"
#include "model/member.h"

namespace kumquatcart {

// The newest snapshot on the log, as far as a node knows.
struct SnapshotInfo {
  Offset config_offset = kNoOffset;  // Zero: there is none.
  // The platform's, when it was written. Without a snapshot: one interval
  // before the node missed it.
  std::int64_t time_unix_ms = 0;

  auto Tie() const { return std::tie(this->config_offset, this->time_unix_ms); }
};

// Position of this node among the live members for the next snapshot: 0 writes
// first. The order depends on the newest snapshot, by rendezvous hashing, and
// is the same on every node that sees the same members. Pure; thread safe.
std::size_t SnapshotRank(const MemberTable& members,
                         const NodeId& self,
                         const SnapshotInfo& newest);

// Whether a node of rank `rank` that holds the configuration at `own_offset`
// writes a snapshot at `now`. A node that is behind the newest snapshot never
// does. Pure; thread safe.
bool IsSnapshotDue(const SnapshotInfo& newest,
                   Offset own_offset,
                   std::size_t rank,
                   WallTime now,
                   const ConfigSettings& settings);

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOT_DUTY_H_
