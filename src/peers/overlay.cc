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

std::vector<Candidate> ListCandidates(const MemberTable& table) {
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

// Returns true if `self` is one of the observers of `subject`.
bool Observes(const std::vector<Candidate>& candidates,
              const Candidate& self,
              const Candidate& subject,
              const OverlayShape& shape) {
  const bool self_in_domain = self.failure_domain == subject.failure_domain;
  const std::uint64_t score = RendezvousScore(subject.key, self.key);
  std::size_t domain_candidates = 0;
  std::size_t higher_ranked = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.key == subject.key) {
      continue;
    }
    const bool candidate_in_domain =
        candidate.failure_domain == subject.failure_domain;
    domain_candidates += candidate_in_domain ? 1 : 0;
    const bool ranks_higher =
        candidate_in_domain == self_in_domain &&
        RendezvousScore(subject.key, candidate.key) > score;
    higher_ranked += ranks_higher ? 1 : 0;
  }
  const std::size_t domain_chosen =
      std::min(domain_candidates, shape.same_domain_observers);
  const std::size_t total_chosen =
      shape.same_domain_observers + shape.other_domain_observers;
  return higher_ranked <
         (self_in_domain ? domain_chosen : total_chosen - domain_chosen);
}

// Returns true if fewer than `limit` of `candidates` rank above `self` for
// `subject`.
bool IsAmongHighest(const std::vector<NodeId>& candidates,
                    const NodeId& self,
                    const std::string& subject,
                    std::size_t limit) {
  const std::uint64_t key = StableHash(subject);
  const std::uint64_t score = RendezvousScore(key, StableHash(self.value));
  const auto higher_ranked = std::count_if(
      candidates.begin(), candidates.end(), [&](const NodeId& id) {
        return RendezvousScore(key, StableHash(id.value)) > score;
      });
  return static_cast<std::size_t>(higher_ranked) < limit;
}

// Returns the live members of the failure domain of `self`, without `self`.
std::vector<NodeId> ListLiveDomainPeers(const MemberTable& table,
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
  const std::vector<Candidate> candidates = ListCandidates(table);
  const auto self_candidate = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return candidate.id == self; });
  std::set<NodeId> observed;
  if (self_candidate == candidates.end()) {
    return observed;
  }
  for (const Candidate& subject : candidates) {
    if (subject.id != self &&
        Observes(candidates, *self_candidate, subject, shape)) {
      observed.insert(subject.id);
    }
  }
  return observed;
}

bool IsLogReader(const MemberTable& table, const NodeIdentity& self) {
  const std::string& subject = self.failure_domain.value;
  // A reader that cannot reach the platform keeps trying, to detect its
  // recovery. Meanwhile, the highest-ranked nodes that reach the platform read
  // as well.
  return IsAmongHighest(ListLiveDomainPeers(table, self, false), self.id,
                        subject, kLogReadersPerFailureDomain) ||
         IsAmongHighest(ListLiveDomainPeers(table, self, true), self.id,
                        subject, kLogReadersPerFailureDomain);
}

bool IsGroupReporter(const MemberTable& table, const NodeIdentity& self) {
  return IsAmongHighest(ListLiveDomainPeers(table, self, false), self.id,
                        "groups of " + self.failure_domain.value,
                        kGroupReportersPerFailureDomain);
}

bool IsWatcherOf(const MemberTable& table,
                 const NodeIdentity& self,
                 const VmId& vm,
                 std::size_t watchers) {
  return IsAmongHighest(ListLiveDomainPeers(table, self, false), self.id,
                        vm.value, watchers);
}

}  // namespace kumquatcart
