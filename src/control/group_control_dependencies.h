// Dependencies of the components that plan and order replica groups.
#ifndef CONTROL_GROUP_CONTROL_DEPENDENCIES_H_
#define CONTROL_GROUP_CONTROL_DEPENDENCIES_H_

#include <functional>
#include <string>

#include "control/fleet_view.h"
#include "control/server_prober.h"
#include "control/topic_follower.h"
#include "peers/peer_directory.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"

namespace kumquatcart {

// Precondition: the referents outlive the components. Used on the event loop's
// thread only.
struct GroupControlDependencies {
  EventLoop* loop;
  StoreClient* store;
  EngineClient* engines;
  ServerProber* prober;
  FleetView* view;
  const PeerDirectory* peers;
  PlannerRole* role;
  TopicFollower* records;
  std::string failure_domain;  // Of this entry VM.
  // Called when a group starts or stops accepting requests.
  std::function<void()> changed;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_CONTROL_DEPENDENCIES_H_
