#include "control/snapshot_schedule.h"

#include <string>

namespace kumquatcart {

namespace {

std::string RendezvousScore(const NodeId& node, const SnapshotInfo& newest) {
  return Sha256Hex(node.value + "/" + std::to_string(newest.config_offset));
}

}  // namespace

std::size_t SnapshotRank(const MemberTable& members,
                         const NodeId& self,
                         const SnapshotInfo& newest) {
  const std::string own_score = RendezvousScore(self, newest);
  std::size_t rank = 0;
  for (const auto& [node, member] : members.members) {
    const bool competes = node != self && member.state == MemberState::kAlive &&
                          member.platform_reachable;
    if (competes && RendezvousScore(node, newest) > own_score) {
      ++rank;
    }
  }
  return rank;
}

bool IsSnapshotDue(const SnapshotInfo& newest,
                   Offset own_offset,
                   std::size_t rank,
                   WallTime now,
                   const ConfigSettings& settings) {
  if (own_offset == kNoOffset || own_offset < newest.config_offset) {
    return false;
  }
  const Duration stagger =
      settings.snapshot_stagger * static_cast<std::int64_t>(rank);
  const std::int64_t age_ms = ToUnixMillis(now) - newest.time_unix_ms;
  const bool is_old = age_ms >= ToMillis(settings.snapshot_interval + stagger);
  const std::int64_t record_limit =
      settings.snapshot_records * static_cast<std::int64_t>(rank + 1);
  const bool is_record_limit_reached =
      own_offset - newest.config_offset >= record_limit;
  return is_old || is_record_limit_reached;
}

}  // namespace kumquatcart
