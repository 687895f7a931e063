// Connection of a PromptGuard to servers and to the other entry VMs.
#ifndef ENTRY_PROMPT_NETWORK_H_
#define ENTRY_PROMPT_NETWORK_H_

#include <string>
#include <vector>

#include "model/backend_server.h"
#include "model/prompt_evidence.h"
#include "net/event_loop.h"

namespace kumquatcart {

// Used on the event loop's thread.
class PromptNetwork {
 public:
  virtual ~PromptNetwork() = default;

  // Whether the start of `server` still answers.
  virtual bool IsRunning(const BackendServer& server, Coroutine yield) = 0;

  // The other nodes.
  virtual std::vector<std::string> Peers() const = 0;

  // Sends to other nodes. Messages may be lost, late or repeated.
  virtual void Send(const std::vector<std::string>& nodes,
                    const PromptEvidence& evidence) = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_PROMPT_NETWORK_H_
