#include "peers/member_list.h"

#include <algorithm>
#include <utility>

#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kMembersPerBucket = 6;
constexpr std::size_t kMaxBuckets = 64;

int StateRank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspect:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 0;
}

std::pair<std::uint64_t, int> Precedence(const MemberUpdate& update) {
  return {update.incarnation, StateRank(update.state)};
}

std::uint32_t HashUpdate(const MemberUpdate& update) {
  const std::uint64_t state =
      update.incarnation * 4 +
      static_cast<std::uint64_t>(StateRank(update.state));
  return static_cast<std::uint32_t>(RendezvousScore(update.key, state));
}

}  // namespace

MemberKey KeyOf(const NodeId& id) {
  return StableHash(id.value);
}

MemberUpdate ToUpdate(const Member& member) {
  MemberUpdate update;
  update.key = KeyOf(member.identity.id);
  update.incarnation = member.incarnation;
  update.state = member.state;
  update.config_offset = member.config_offset;
  update.platform_reachable = member.platform_reachable;
  return update;
}

MemberList::MemberList(Member self, MemberBounds bounds)
    : self_key(KeyOf(self.identity.id)), bounds(bounds) {
  this->members[this->self_key].member = std::move(self);
}

MemberTable MemberList::Table() const {
  MemberTable table;
  for (const auto& [key, entry] : this->members) {
    table.members[entry.member.identity.id] = entry.member;
  }
  return table;
}

const Member* MemberList::Find(MemberKey key) const {
  const auto found = this->members.find(key);
  return found == this->members.end() ? nullptr : &found->second.member;
}

MergeResult MemberList::Merge(const MemberUpdate& update, MonotonicTime now) {
  const auto found = this->members.find(update.key);
  if (found != this->members.end()) {
    return update.key == this->self_key
               ? this->ApplyToSelf(update)
               : this->Apply(&found->second, update, now);
  }
  // A dead member that has already been removed here is not added again.
  return update.state == MemberState::kDead ? MergeResult::kSame
                                            : MergeResult::kUnknown;
}

MergeResult MemberList::MergeMember(const Member& member, MonotonicTime now) {
  const MemberUpdate update = ToUpdate(member);
  const MergeResult result = this->Merge(update, now);
  if (result != MergeResult::kUnknown) {
    return result;
  }
  this->members[update.key] = {member, now};
  ++this->version;
  ++this->topology_version;
  return MergeResult::kStateChanged;
}

MergeResult MemberList::Apply(Entry* entry,
                              const MemberUpdate& update,
                              MonotonicTime now) {
  const auto known = Precedence(ToUpdate(entry->member));
  if (Precedence(update) < known) {
    return MergeResult::kStale;
  }
  if (Precedence(update) == known) {
    return MergeResult::kSame;
  }
  const bool state_changed = update.state != entry->member.state;
  const bool liveness_changed = (update.state == MemberState::kDead) !=
                                (entry->member.state == MemberState::kDead);
  entry->member.incarnation = update.incarnation;
  entry->member.state = update.state;
  entry->member.config_offset = update.config_offset;
  entry->member.platform_reachable = update.platform_reachable;
  entry->since = now;
  ++this->version;
  this->topology_version += liveness_changed ? 1 : 0;
  return state_changed ? MergeResult::kStateChanged
                       : MergeResult::kFieldsChanged;
}

MergeResult MemberList::ApplyToSelf(const MemberUpdate& update) {
  Member& self = this->OwnEntry().member;
  const auto own = Precedence(ToUpdate(self));
  if (Precedence(update) < own) {
    return MergeResult::kStale;
  }
  if (Precedence(update) == own) {
    return MergeResult::kSame;
  }
  self.incarnation = update.incarnation + 1;
  ++this->version;
  return MergeResult::kStateChanged;
}

bool MemberList::Suspect(MemberKey key, MonotonicTime now) {
  const auto found = this->members.find(key);
  if (found == this->members.end() || key == this->self_key) {
    return false;
  }
  MemberUpdate update = ToUpdate(found->second.member);
  update.state = MemberState::kSuspect;
  return this->Apply(&found->second, update, now) == MergeResult::kStateChanged;
}

std::vector<MemberKey> MemberList::Expire(MonotonicTime now) {
  std::vector<MemberKey> newly_dead;
  for (auto entry = this->members.begin(); entry != this->members.end();) {
    Member& member = entry->second.member;
    const Duration age = now - entry->second.since;
    if (member.state == MemberState::kSuspect &&
        age >= this->bounds.suspicion) {
      member.state = MemberState::kDead;
      entry->second.since = now;
      newly_dead.push_back(entry->first);
      ++this->version;
      ++this->topology_version;
    } else if (member.state == MemberState::kDead &&
               age >= this->bounds.dead_retention) {
      entry = this->members.erase(entry);
      ++this->version;
      ++this->topology_version;
      continue;
    }
    ++entry;
  }
  return newly_dead;
}

void MemberList::RestartSuspicions(MonotonicTime now) {
  for (auto& [key, entry] : this->members) {
    if (entry.member.state == MemberState::kSuspect) {
      entry.since = now;
    }
  }
}

bool MemberList::SetOwnAttributes(Offset config_offset,
                                  bool platform_reachable) {
  Member& self = this->OwnEntry().member;
  if (self.config_offset == config_offset &&
      self.platform_reachable == platform_reachable) {
    return false;
  }
  self.config_offset = config_offset;
  self.platform_reachable = platform_reachable;
  ++self.incarnation;
  ++this->version;
  return true;
}

void MemberList::Leave() {
  Member& self = this->OwnEntry().member;
  self.state = MemberState::kLeaving;
  ++self.incarnation;
  ++this->version;
}

std::optional<MemberUpdate> MemberList::UpdateOf(MemberKey key) const {
  const Member* const member = this->Find(key);
  if (member == nullptr) {
    return std::nullopt;
  }
  return ToUpdate(*member);
}

std::size_t MemberList::BucketCount() const {
  const std::size_t wanted = this->members.size() / kMembersPerBucket + 1;
  return std::min(wanted, kMaxBuckets);
}

std::vector<std::uint32_t> MemberList::BucketHashes(std::size_t buckets) const {
  std::vector<std::uint32_t> hashes(buckets, 0);
  for (const auto& [key, entry] : this->members) {
    if (entry.member.state != MemberState::kDead) {
      hashes[key % buckets] ^= HashUpdate(ToUpdate(entry.member));
    }
  }
  return hashes;
}

std::vector<MemberUpdate> MemberList::UpdatesWhereDifferent(
    const std::vector<std::uint32_t>& peer_hashes) const {
  std::vector<MemberUpdate> updates;
  if (peer_hashes.empty()) {
    return updates;
  }
  const std::vector<std::uint32_t> own = this->BucketHashes(peer_hashes.size());
  for (const auto& [key, entry] : this->members) {
    const std::size_t bucket = key % peer_hashes.size();
    if (own[bucket] != peer_hashes[bucket]) {
      updates.push_back(ToUpdate(entry.member));
    }
  }
  return updates;
}

}  // namespace kumquatcart
