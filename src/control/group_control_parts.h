// What the parts that plan and order replica groups work with.
#ifndef CONTROL_GROUP_CONTROL_PARTS_H_
#define CONTROL_GROUP_CONTROL_PARTS_H_

#include <functional>
#include <string>

#include "control/fleet_view.h"
#include "control/server_prober.h"
#include "control/topic_follower.h"
#include "peers/peer_directory.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"

namespace kumquatcart {

// The referents outlive the parts. For the event loop's thread.
struct GroupControlParts {
  EventLoop* loop;
  StoreClient* store;
  EngineClient* engines;
  ServerProber* prober;
  FleetView* view;
  const PeerDirectory* peers;
  PlannerRole* role;
  TopicFollower* records;
  std::string failure_domain;  // This entry VM's own.
  // Called when a group begins or ceases to take requests.
  std::function<void()> changed;
};

}  // namespace kumquatcart

#endif  // CONTROL_GROUP_CONTROL_PARTS_H_
