// Connection of a PromptGuard to servers and to the other entry VMs.
#ifndef ENTRY_PROMPT_NETWORK_H_
#define ENTRY_PROMPT_NETWORK_H_

#include <string>
#include <vector>

#include "model/backend_server.h"
#include "model/prompt_evidence.h"
#include "net/event_loop.h"

namespace kumquatcart {

// What a probe shows of one start of a server.
enum class ServerSign {
  kRunning,
  kEnded,   // Connections are refused or closed, or another start answers.
  kSilent,  // No answer in time: it may have ended, or its link is harmed.
};

// Lower-case name for logs. Thread safe.
inline const char* ToString(ServerSign sign) {
  constexpr const char* kNames[] = {"running", "ended", "silent"};
  return kNames[static_cast<int>(sign)];
}

// Used on the event loop's thread.
class PromptNetwork {
 public:
  virtual ~PromptNetwork() = default;

  // Probes the start of `server` once.
  virtual ServerSign Probe(const BackendServer& server, Coroutine yield) = 0;

  // The other nodes.
  virtual std::vector<std::string> Peers() const = 0;

  // Sends to other nodes. Messages may be lost, late or repeated.
  virtual void Send(const std::vector<std::string>& nodes,
                    const PromptEvidence& evidence) = 0;
};

}  // namespace kumquatcart

#endif  // ENTRY_PROMPT_NETWORK_H_
