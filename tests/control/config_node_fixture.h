// Test fixture: the configuration components of one entry VM.
#ifndef CONTROL_CONFIG_NODE_FIXTURE_H_
#define CONTROL_CONFIG_NODE_FIXTURE_H_

#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "control/audit_trail.h"
#include "control/config_follower.h"
#include "control/config_replica.h"
#include "control/config_topic.h"
#include "control/snapshotter.h"
#include "fakes/fake_log_service.h"
#include "model/change_set_builder.h"

namespace kumquatcart {

inline NodeIdentity IdentityOf(const std::string& name) {
  NodeIdentity identity;
  identity.id = NodeId(name);
  identity.vm = VmId(name);
  return identity;
}

struct ConfigNode {
  ConfigNode(const std::string& name,
             ManualClock* clock,
             LogService* log,
             const ConfigSettings& settings = {})
      : pool(1),
        board(IdentityOf(name)),
        audit(clock, &pool, &board, log, &metrics, settings),
        replica(&board, &audit, &metrics, settings),
        follower(clock, log, &replica, &metrics, settings),
        topic(&replica, &metrics),
        snapshotter(clock, &pool, &board, log, &metrics, settings) {}

  Status Poll() { return this->follower.PollOnce(Duration::zero()); }
  std::shared_ptr<const ConfigView> Config() const {
    return this->board.config.Read();
  }

  WorkerPool pool;
  MetricRegistry metrics;
  Board board;
  AuditTrail audit;
  ConfigReplica replica;
  ConfigFollower follower;
  ConfigTopic topic;
  Snapshotter snapshotter;
};

// Appends a change set that adds one organisation to the configuration log.
inline void AddOrganisation(LogService* log, const std::string& name) {
  const ChangeSetBuilder builder =
      ChangeSetBuilder("add-" + name)
          .Put(ObjectKind::kOrganisation, name, Json::object());
  REQUIRE(log->Append(kConfigStream, builder.Build().id, builder.Payload())
              .has_value());
}

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_NODE_FIXTURE_H_
