// One entry VM: every controller, the request path and the peers, put together.
#ifndef CLI_ENTRY_NODE_H_
#define CLI_ENTRY_NODE_H_

#include <memory>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "cli/serve_settings.h"
#include "model/member.h"

namespace kumquatcart {

// Runs an entry VM. Start, Drain and Stop are called in this order from one
// thread.
class EntryNode {
 public:
  // `peer_key` is the secret shared with the peers. Precondition: `clock`
  // outlives the node.
  EntryNode(Clock* clock,
            ServeSettings settings,
            NodeIdentity identity,
            std::string peer_key);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Opens the ports and starts the controllers. Errors name the setting at
  // fault.
  Status Start();

  // Leaves the balancer and returns when every request has its answer. Refuses
  // nothing meanwhile.
  void Drain();

  // Gives up leases, tells the peers, and ends all work. Idempotent.
  void Stop();

 private:
  struct Parts;

  std::unique_ptr<Parts> parts;
};

}  // namespace kumquatcart

#endif  // CLI_ENTRY_NODE_H_
