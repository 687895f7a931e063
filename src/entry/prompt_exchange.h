// Exchange of evidence about prompts over the digest socket.
#ifndef ENTRY_PROMPT_EXCHANGE_H_
#define ENTRY_PROMPT_EXCHANGE_H_

#include <string>
#include <vector>

#include "entry/prompt_guard.h"
#include "entry/prompt_network.h"
#include "peers/digest_exchange.h"
#include "platform/engine_client.h"

namespace kumquatcart {

// Connects a PromptGuard to the servers and the peers. Used on the event loop's
// thread.
class PromptExchange : public PromptNetwork {
 public:
  // The referents must outlive this object.
  PromptExchange(EventLoop* loop,
                 EngineClient* engines,
                 PeerDirectory* peers,
                 DigestExchange* digests)
      : loop(loop), engines(engines), peers(peers), digests(digests) {}

  ServerSign Probe(const BackendServer& server, Coroutine yield) override;
  std::vector<std::string> Peers() const override;
  void Send(const std::vector<std::string>& nodes,
            const PromptEvidence& evidence) override;

  // Passes a received message to `guard`. Returns false for a datagram of
  // another kind.
  static bool HandleDatagram(const std::string& bytes, PromptGuard* guard);

 private:
  EventLoop* const loop;
  EngineClient* const engines;
  PeerDirectory* const peers;
  DigestExchange* const digests;
};

}  // namespace kumquatcart

#endif  // ENTRY_PROMPT_EXCHANGE_H_
