#include "entry/prompt_exchange.h"

#include "entry/datagram_dispatch.h"
#include "peers/prompt_message.h"

namespace kumquatcart {

namespace {

// Above the time of a report and one packet loss; requests with the same parts
// wait meanwhile.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

}  // namespace

ServerSign PromptExchange::Probe(const BackendServer& server, Coroutine yield) {
  const MonotonicTime deadline = this->loop->Now() + kProbeTimeout;
  const Result<EngineReport> report =
      this->engines->Report(server, kProbeTimeout, yield);
  // A report that cannot be read comes from a server that runs.
  if (report.has_value() ||
      report.error().code == ErrorCode::kInvalidArgument) {
    return ServerSign::kRunning;
  }
  // A connection that is refused or closed fails before the timeout. What
  // stands between may accept it on behalf of a server that has ended.
  return this->loop->Now() < deadline ? ServerSign::kEnded
                                      : ServerSign::kSilent;
}

std::vector<std::string> PromptExchange::Peers() const {
  std::vector<std::string> nodes;
  for (const auto& entry : this->peers->Peers()) {
    nodes.push_back(entry.first);
  }
  return nodes;
}

void PromptExchange::Send(const std::vector<std::string>& nodes,
                          const PromptEvidence& evidence) {
  const std::string bytes = EncodePromptEvidence(evidence);
  for (const std::string& node : nodes) {
    const auto peer = this->peers->Peers().find(node);
    if (peer != this->peers->Peers().end()) {
      this->digests->SendMessage(bytes, peer->second);
    }
  }
}

bool PromptExchange::HandleDatagram(const std::string& bytes,
                                    PromptGuard* guard) {
  return DispatchDatagram(DecodePromptEvidence(bytes),
                          "prompt_evidence_ignored",
                          [guard](const PromptEvidence& evidence) {
                            guard->HandleEvidence(evidence);
                          });
}

}  // namespace kumquatcart
