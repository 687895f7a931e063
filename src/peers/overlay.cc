#include "peers/overlay.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

struct Candidate {
  NodeId id;
  std::uint64_t key = 0;
  std::uint64_t failure_domain = 0;  // Hash of its name.
};

std::vector<Candidate> ListObservable(const MemberTable& table) {
  std::vector<Candidate> candidates;
  candidates.reserve(table.members.size());
  for (const auto& [id, member] : table.members) {
    if (member.state != MemberState::kDead) {
      candidates.push_back({id, StableHash(id.value),
                            StableHash(member.identity.failure_domain.value)});
    }
  }
  return candidates;
}

// True when `self` ranks among the observers of `subject`.
bool Observes(const std::vector<Candidate>& candidates,
              const Candidate& self,
              const Candidate& subject,
              const OverlayShape& shape) {
  const bool own = self.failure_domain == subject.failure_domain;
  const std::uint64_t score = RendezvousScore(subject.key, self.key);
  std::size_t own_candidates = 0;
  std::size_t better = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.key == subject.key) {
      continue;
    }
    const bool same = candidate.failure_domain == subject.failure_domain;
    own_candidates += same ? 1 : 0;
    const bool ranks_higher =
        same == own && RendezvousScore(subject.key, candidate.key) > score;
    better += ranks_higher ? 1 : 0;
  }
  const std::size_t own_chosen = std::min(own_candidates, shape.own_observers);
  const std::size_t all_chosen = shape.own_observers + shape.other_observers;
  return better < (own ? own_chosen : all_chosen - own_chosen);
}

// True when fewer than `limit` of `candidates` rank above `self` for `subject`.
bool IsAmongHighest(const std::vector<NodeId>& candidates,
                    const NodeId& self,
                    const std::string& subject,
                    std::size_t limit) {
  const std::uint64_t key = StableHash(subject);
  const std::uint64_t score = RendezvousScore(key, StableHash(self.value));
  const auto better = std::count_if(
      candidates.begin(), candidates.end(), [&](const NodeId& id) {
        return RendezvousScore(key, StableHash(id.value)) > score;
      });
  return static_cast<std::size_t>(better) < limit;
}

// Live members of the failure domain of `self`, without `self`.
std::vector<NodeId> ListLiveNeighbours(const MemberTable& table,
                                       const NodeIdentity& self,
                                       bool reaching_platform_only) {
  std::vector<NodeId> live;
  for (const auto& [id, member] : table.members) {
    const bool neighbour =
        id != self.id && member.state == MemberState::kAlive &&
        member.identity.failure_domain == self.failure_domain;
    if (neighbour && (member.platform_reachable || !reaching_platform_only)) {
      live.push_back(id);
    }
  }
  return live;
}

}  // namespace

std::set<NodeId> ChooseObserved(const MemberTable& table,
                                const NodeId& self,
                                const OverlayShape& shape) {
  const std::vector<Candidate> candidates = ListObservable(table);
  const auto own = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return candidate.id == self; });
  std::set<NodeId> observed;
  if (own == candidates.end()) {
    return observed;
  }
  for (const Candidate& subject : candidates) {
    if (subject.id != self && Observes(candidates, *own, subject, shape)) {
      observed.insert(subject.id);
    }
  }
  return observed;
}

bool IsLogReader(const MemberTable& table, const NodeIdentity& self) {
  const std::string& subject = self.failure_domain.value;
  // A reader that lost the platform goes on trying, so that it notices the
  // return; the highest of those that reach it stand in meanwhile.
  return IsAmongHighest(ListLiveNeighbours(table, self, false), self.id,
                        subject, kLogReadersPerFailureDomain) ||
         IsAmongHighest(ListLiveNeighbours(table, self, true), self.id, subject,
                        kLogReadersPerFailureDomain);
}

bool IsGroupReporter(const MemberTable& table, const NodeIdentity& self) {
  return IsAmongHighest(ListLiveNeighbours(table, self, false), self.id,
                        "groups of " + self.failure_domain.value,
                        kGroupReportersPerFailureDomain);
}

bool IsWatcherOf(const MemberTable& table,
                 const NodeIdentity& self,
                 const VmId& vm,
                 std::size_t watchers) {
  return IsAmongHighest(ListLiveNeighbours(table, self, false), self.id,
                        vm.value, watchers);
}

}  // namespace kumquatcart
