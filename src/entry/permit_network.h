// Connection of a ServerLimiter to the other entry VMs.
#ifndef ENTRY_PERMIT_NETWORK_H_
#define ENTRY_PERMIT_NETWORK_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "peers/permit_message.h"

namespace kumquatcart {

// Sizes of the deployment as seen by one node, which counts itself.
struct NodeCounts {
  int live = 1;
  // Includes nodes that were live recently: they may be cut off and still send.
  int recent = 1;
};

// Time, timers and messages of a ServerLimiter. Used on one thread.
class PermitNetwork {
 public:
  virtual ~PermitNetwork() = default;

  virtual MonotonicTime Now() const = 0;

  // Calls `callback` once, after `delay` and not within this call.
  virtual void CallAfter(Duration delay, std::function<void()> callback) = 0;

  virtual NodeCounts CountNodes() const = 0;

  // The node that allocates the limit of `server`; may be this one.
  virtual std::string FindCoordinator(const std::string& server) const = 0;

  // Sends to another node. Messages may be lost, late or repeated.
  virtual void Send(const std::string& node, const PermitMessage& message) = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_PERMIT_NETWORK_H_
