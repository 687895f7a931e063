#include "peers/member_list.h"

#include <algorithm>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

Member MakeMember(const std::string& name) {
  Member member;
  member.identity.id = NodeId(name);
  return member;
}

int ReferenceRank(MemberState state) {
  const std::vector<MemberState> order = {
      MemberState::kAlive, MemberState::kLeaving, MemberState::kSuspect,
      MemberState::kDead};
  return static_cast<int>(std::find(order.begin(), order.end(), state) -
                          order.begin());
}

// Reference model: keeps all updates received about one member and evaluates
// the whole history each time.
struct ReferenceMember {
  struct Received {
    MemberUpdate update;
    MonotonicTime at;
  };

  MemberUpdate Evaluate(MonotonicTime now, Duration suspicion) const {
    Received best = this->history.front();
    for (const Received& received : this->history) {
      const auto rank = std::make_pair(received.update.incarnation,
                                       ReferenceRank(received.update.state));
      const auto known = std::make_pair(best.update.incarnation,
                                        ReferenceRank(best.update.state));
      if (rank > known) {
        best = received;
      }
    }
    const MonotonicTime since = std::max(best.at, this->last_pause);
    if (best.update.state == MemberState::kSuspect &&
        now - since >= suspicion) {
      best.update.state = MemberState::kDead;
    }
    return best.update;
  }

  std::vector<Received> history;
  MonotonicTime last_pause{};
};

MemberUpdate DrawUpdate(MemberKey key) {
  MemberUpdate update;
  update.key = key;
  update.incarnation = *rc::gen::inRange<std::uint64_t>(0, 5);
  update.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  // Each incarnation has a single offset.
  update.config_offset = static_cast<Offset>(update.incarnation * 10);
  return update;
}

TEST_CASE("Membership agrees with the reference model") {
  rc::prop("random updates, times and pauses", [] {
    MemberBounds bounds;
    MemberList list(MakeMember("self"), bounds);
    ReferenceMember reference;
    MonotonicTime now = kStart;
    const Member peer = MakeMember("peer");
    list.MergeMember(peer, now);
    reference.history.push_back({ToUpdate(peer), now});
    const int events = *rc::gen::inRange(1, 40);
    for (int event = 0; event < events; ++event) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
      list.Expire(now);
      // The reference model records an expired suspicion as a received update.
      reference.history.push_back(
          {reference.Evaluate(now, bounds.suspicion), now});
      if (*rc::gen::inRange(0, 6) == 0) {
        list.RestartSuspicions(now);
        reference.last_pause = now;
      } else {
        const MemberUpdate update = DrawUpdate(KeyOf(peer.identity.id));
        list.Merge(update, now);
        reference.history.push_back({update, now});
      }
      RC_ASSERT(*list.UpdateOf(KeyOf(peer.identity.id)) ==
                reference.Evaluate(now - bounds.suspicion, bounds.suspicion));
    }
  });
}

TEST_CASE("Merging updates does not depend on their order") {
  rc::prop("two nodes receive the same updates in reverse order", [] {
    const Member peer = MakeMember("peer");
    const MemberKey key = KeyOf(peer.identity.id);
    std::vector<MemberUpdate> updates;
    for (int count = *rc::gen::inRange(1, 12); count > 0; --count) {
      updates.push_back(DrawUpdate(key));
    }
    MemberList first(MakeMember("a"), MemberBounds());
    MemberList second(MakeMember("b"), MemberBounds());
    first.MergeMember(peer, kStart);
    second.MergeMember(peer, kStart);
    for (const MemberUpdate& update : updates) {
      first.Merge(update, kStart);
    }
    std::reverse(updates.begin(), updates.end());
    for (const MemberUpdate& update : updates) {
      second.Merge(update, kStart);
    }
    RC_ASSERT(*first.UpdateOf(key) == *second.UpdateOf(key));
  });
}

TEST_CASE("A member refutes its own death and suspicion") {
  MemberList list(MakeMember("self"), MemberBounds());
  MemberUpdate false_update = ToUpdate(list.Self());
  false_update.state = MemberState::kDead;
  false_update.incarnation = 4;
  REQUIRE(list.Merge(false_update, kStart) == MergeResult::kStateChanged);
  REQUIRE(list.Self().state == MemberState::kAlive);
  REQUIRE(list.Self().incarnation == 5);
}

TEST_CASE("A leaving member that refutes a suspicion stays leaving") {
  MemberList list(MakeMember("self"), MemberBounds());
  list.Leave();
  MemberUpdate false_update = ToUpdate(list.Self());
  false_update.state = MemberState::kSuspect;
  list.Merge(false_update, kStart);
  REQUIRE(list.Self().state == MemberState::kLeaving);
  REQUIRE(list.Self().incarnation > false_update.incarnation);
}

TEST_CASE("A removed dead member is not added again by a peer") {
  MemberBounds bounds;
  MemberList list(MakeMember("self"), bounds);
  Member peer = MakeMember("peer");
  list.MergeMember(peer, kStart);
  peer.state = MemberState::kDead;
  list.MergeMember(peer, kStart);
  list.Expire(kStart + bounds.dead_retention);
  REQUIRE(list.Find(KeyOf(peer.identity.id)) == nullptr);
  REQUIRE(list.MergeMember(peer, kStart) == MergeResult::kSame);
  REQUIRE(list.Find(KeyOf(peer.identity.id)) == nullptr);
}

TEST_CASE("Updates of differing buckets include those the peer lacks") {
  rc::prop("one member differs", [] {
    MemberList first(MakeMember("self"), MemberBounds());
    MemberList second(MakeMember("self"), MemberBounds());
    const int members = *rc::gen::inRange(1, 60);
    for (int index = 0; index < members; ++index) {
      const Member member = MakeMember("m" + std::to_string(index));
      first.MergeMember(member, kStart);
      second.MergeMember(member, kStart);
    }
    const std::size_t buckets = first.BucketCount();
    RC_ASSERT(
        first.UpdatesWhereDifferent(second.BucketHashes(buckets)).empty());
    MemberUpdate update = ToUpdate(MakeMember("m0"));
    update.incarnation = 1;
    first.Merge(update, kStart);
    const auto sent = first.UpdatesWhereDifferent(second.BucketHashes(buckets));
    RC_ASSERT(std::find(sent.begin(), sent.end(), update) != sent.end());
  });
}

}  // namespace
}  // namespace kumquatcart
