// Determines when a node writes a configuration snapshot.
#ifndef CONTROL_SNAPSHOT_SCHEDULE_H_
#define CONTROL_SNAPSHOT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "control/config_settings.h"
#include "model/log_record.h"
#include "model/member.h"

namespace kumquatcart {

// The newest snapshot on the log that a node has read or written.
struct SnapshotInfo {
  Offset config_offset = kNoOffset;  // Zero: there is none.
  // Time of the write, on the platform's clock. Without a snapshot: one
  // interval before the node found that there is none.
  std::int64_t time_unix_ms = 0;

  auto Tie() const { return std::tie(this->config_offset, this->time_unix_ms); }
};

// Returns the rank of `self` among the alive members that reach the platform;
// rank 0 writes the next snapshot first. The order is by rendezvous hashing
// over the newest snapshot's offset and is the same on every node that has the
// same member table. Pure; thread safe.
std::size_t SnapshotRank(const MemberTable& members,
                         const NodeId& self,
                         const SnapshotInfo& newest);

// Returns whether a node of rank `rank` with the configuration at `own_offset`
// writes a snapshot at `now`. A node behind the newest snapshot never writes
// one. Pure; thread safe.
bool IsSnapshotDue(const SnapshotInfo& newest,
                   Offset own_offset,
                   std::size_t rank,
                   WallTime now,
                   const ConfigSettings& settings);

}  // namespace kumquatcart

#endif  // CONTROL_SNAPSHOT_SCHEDULE_H_
