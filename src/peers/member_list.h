// Membership: what this node knows of every entry VM, and the rules by which
// news of several nodes merge.
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

// Times of the membership rules.
struct MemberBounds {
  // A suspected member that does not answer for this long is dead.
  Duration suspicion = std::chrono::milliseconds(600);
  // A dead member is remembered for this long.
  Duration dead_retention = std::chrono::minutes(10);
};

// What a merge did.
enum class MergeResult {
  kStale,          // Older than what is known.
  kSame,           // Known already.
  kFieldsChanged,  // Newer, the state is unchanged.
  kStateChanged,   // Newer with another state, a new member, or our own
                   // refutation.
  kUnknown,        // Names a member whose record is needed first.
};

// Merges by incarnation, then by state: alive, leaving, suspect, dead; a member
// refutes what is wrong about itself by a higher incarnation. Merging is
// idempotent and commutative. Does no I/O. Not thread safe.
class MemberList {
 public:
  MemberList(Member self, MemberBounds bounds);

  const Member& Self() const { return this->members.at(this->self_key).member; }
  MemberTable Table() const;
  const Member* Find(MemberKey key) const;

  // Grows with every change of the table.
  std::uint64_t Version() const { return this->version; }

  // Grows when a member is added, forgotten, dies or returns: the changes on
  // which the overlay depends.
  std::uint64_t TopologyVersion() const { return this->topology_version; }

  MergeResult Merge(const MemberUpdate& update, MonotonicTime now);
  MergeResult MergeMember(const Member& member, MonotonicTime now);

  // Says that this node hears nothing from a member. Returns true when that is
  // news. Ignored for members that are dead or unknown, and for this node.
  bool Suspect(MemberKey key, MonotonicTime now);

  // Declares suspects dead whose time has run out and forgets the long dead.
  // Returns the keys of the newly dead.
  std::vector<MemberKey> Expire(MonotonicTime now);

  // Gives every suspect its whole time again, after this process was paused.
  void RestartSuspicions(MonotonicTime now);

  // Sets what this node says of itself. Returns true when it changed.
  bool SetOwn(Offset config_offset, bool platform_reachable);

  // Announces that this node leaves.
  void Leave();

  // The present update about a known member.
  std::optional<MemberUpdate> UpdateOf(MemberKey key) const;

  // Hashes of the members that are not dead, in `buckets` parts.
  std::vector<std::uint32_t> BucketHashes(std::size_t buckets) const;

  // Updates about the members of the buckets in which `peer_hashes` differs.
  // Dead members are included, so that a peer which missed a death learns of
  // it.
  std::vector<MemberUpdate> UpdatesWhereDifferent(
      const std::vector<std::uint32_t>& peer_hashes) const;

  // Number of buckets for the present size.
  std::size_t BucketCount() const;

 private:
  struct Entry {
    Member member;
    MonotonicTime since;  // When the state was taken over here.
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

// The key of a node in messages. Thread safe.
MemberKey KeyOf(const NodeId& id);

// The update that a whole record amounts to.
MemberUpdate ToUpdate(const Member& member);

}  // namespace kumquatcart

#endif  // PEERS_MEMBER_LIST_H_
