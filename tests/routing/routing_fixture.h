// Board contents for the routing tests: complete replica groups and model
// services.
#ifndef TESTS_ROUTING_ROUTING_FIXTURE_H_
#define TESTS_ROUTING_ROUTING_FIXTURE_H_

#include <string>

#include "board/board.h"

namespace kumquatcart {

inline NodeIdentity MakeIdentity(const std::string& name,
                                 const std::string& failure_domain) {
  NodeIdentity identity;
  identity.id = NodeId(name);
  identity.region = RegionId("region");
  identity.failure_domain = FailureDomainId(failure_domain);
  return identity;
}

inline ReplicaGroup MakeGroup(const std::string& name,
                              const std::string& service,
                              const std::string& failure_domain,
                              int capacity) {
  ReplicaGroup group;
  group.claim.group = GroupId(name);
  group.claim.epoch = 1;
  group.claim.service = ServiceName(service);
  group.state = GroupState::kWhole;
  group.failure_domain = FailureDomainId(failure_domain);
  group.load.capacity = capacity;
  return group;
}

inline void PublishGroup(Board* board, const ReplicaGroup& group) {
  board->groups.Update([&](GroupTable table) {
    table.groups[group.claim.group] = group;
    return table;
  });
}

inline void PublishModelService(Board* board, const std::string& name) {
  board->config.Update([&](ConfigView view) {
    view.model_services[ObjectName(name)].meta.name = ObjectName(name);
    return view;
  });
}

}  // namespace kumquatcart

#endif  // TESTS_ROUTING_ROUTING_FIXTURE_H_
