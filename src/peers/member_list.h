// Membership state of all entry VMs, and the rules for merging updates from
// several nodes.
#ifndef PEERS_MEMBER_LIST_H_
#define PEERS_MEMBER_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "model/member.h"
#include "peers/peer_message.h"

namespace kumquatcart {

// Timeouts of the membership protocol.
struct MemberBounds {
  // A member that does not refute a suspicion within this time is declared
  // dead.
  Duration suspicion = std::chrono::milliseconds(600);
  // A dead member is removed from the list after this time.
  Duration dead_retention = std::chrono::minutes(10);
};

// Effect of merging an update.
enum class MergeResult {
  kStale,          // Older than the known update.
  kSame,           // Already known.
  kFieldsChanged,  // Newer, with an unchanged state.
  kStateChanged,   // Newer with another state, a new member, or this node's
                   // refutation.
  kUnknown,        // About an unknown member; its full record is needed.
};

// Orders updates by incarnation, then by state: alive, leaving, suspect, dead.
// A member refutes a wrong update about itself with a higher incarnation.
// Merging is idempotent and commutative. Does no I/O. Not thread safe.
class MemberList {
 public:
  MemberList(Member self, MemberBounds bounds);

  const Member& Self() const { return this->members.at(this->self_key).member; }
  MemberTable Table() const;
  const Member* Find(MemberKey key) const;

  // Incremented on every change of the table.
  std::uint64_t Version() const { return this->version; }

  // Incremented when a member is added, removed, declared dead or alive again:
  // the changes on which the overlay depends.
  std::uint64_t TopologyVersion() const { return this->topology_version; }

  MergeResult Merge(const MemberUpdate& update, MonotonicTime now);
  MergeResult MergeMember(const Member& member, MonotonicTime now);

  // Marks a member as suspect after it has been silent. Returns true if its
  // state changed. Ignored for members that are dead or unknown, and for this
  // node.
  bool Suspect(MemberKey key, MonotonicTime now);

  // Declares members dead whose suspicion has timed out, and removes dead
  // members after their retention time. Returns the keys of the newly dead
  // members.
  std::vector<MemberKey> Expire(MonotonicTime now);

  // Restarts the suspicion timeout of every suspect, after this process was
  // paused.
  void RestartSuspicions(MonotonicTime now);

  // Sets the attributes that this node publishes about itself. Returns true if
  // they changed.
  bool SetOwnAttributes(Offset config_offset, bool platform_reachable);

  // Marks this node as leaving.
  void Leave();

  // Returns the current update about a member, or nullopt if it is unknown.
  std::optional<MemberUpdate> UpdateOf(MemberKey key) const;

  // Returns one hash per bucket over the members that are not dead.
  std::vector<std::uint32_t> BucketHashes(std::size_t buckets) const;

  // Returns updates about the members of all buckets whose hash in
  // `peer_hashes` differs. Includes dead members, so that a peer that missed a
  // death receives it.
  std::vector<MemberUpdate> UpdatesWhereDifferent(
      const std::vector<std::uint32_t>& peer_hashes) const;

  // Number of buckets for the current number of members.
  std::size_t BucketCount() const;

 private:
  struct Entry {
    Member member;
    MonotonicTime since;  // When the state was set on this node.
  };

  MergeResult Apply(Entry* entry,
                    const MemberUpdate& update,
                    MonotonicTime now);
  MergeResult ApplyToSelf(const MemberUpdate& update);
  Entry& OwnEntry() { return this->members.at(this->self_key); }

  MemberKey self_key;
  MemberBounds bounds;
  std::map<MemberKey, Entry> members;
  std::uint64_t version = 1;
  std::uint64_t topology_version = 1;
};

// Returns the key of a node in messages. Thread safe.
MemberKey KeyOf(const NodeId& id);

// Converts a full member record to an update.
MemberUpdate ToUpdate(const Member& member);

}  // namespace kumquatcart

#endif  // PEERS_MEMBER_LIST_H_
