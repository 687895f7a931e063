// Entry VM processes as their peers see them.
#ifndef MODEL_MEMBER_H_
#define MODEL_MEMBER_H_

#include <cstdint>
#include <map>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/log_record.h"
#include "model/vm.h"

namespace kumquatcart {

enum class MemberState {
  kAlive,
  kSuspect,  // Missed probes; not yet given up.
  kDead,
  kLeaving,  // Draining on purpose.
};
NLOHMANN_JSON_SERIALIZE_ENUM(MemberState,
                             {{MemberState::kAlive, "alive"},
                              {MemberState::kSuspect, "suspect"},
                              {MemberState::kDead, "dead"},
                              {MemberState::kLeaving, "leaving"}})

// Who this process is; fixed for its life.
struct NodeIdentity {
  NodeId id;  // Fresh for every run of the process.
  VmId vm;
  PartnerId partner;
  RegionId region;
  FailureDomainId failure_domain;
  Endpoint peer_endpoint;
  Endpoint http_endpoint;  // Of the operators' pages.

  auto Tie() const {
    return std::tie(this->id, this->vm, this->partner, this->region,
                    this->failure_domain, this->peer_endpoint,
                    this->http_endpoint);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(NodeIdentity,
                                   id,
                                   vm,
                                   partner,
                                   region,
                                   failure_domain,
                                   peer_endpoint,
                                   http_endpoint)

// One member and what it last said about itself.
struct Member {
  NodeIdentity identity;
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation =
      0;  // Raised by the member itself to refute a suspicion.
  Offset config_offset = kNoOffset;
  bool platform_reachable = true;

  auto Tie() const {
    return std::tie(this->identity, this->state, this->incarnation,
                    this->config_offset, this->platform_reachable);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Member,
                                   identity,
                                   state,
                                   incarnation,
                                   config_offset,
                                   platform_reachable)

// Every member known, this node among them.
struct MemberTable {
  std::map<NodeId, Member> members;

  auto Tie() const { return std::tie(this->members); }
};

}  // namespace kumquatcart

#endif  // MODEL_MEMBER_H_
