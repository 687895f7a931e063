#include "control/server_prober.h"

#include "base/logging.h"
#include "net/run_all.h"

namespace kumquatcart {

namespace {

// A healthy server reports within some milliseconds; a lost packet is sent
// again after 200 ms.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(260);
// A second probe follows on a new connection while the first is not answered.
constexpr Duration kSecondProbe = std::chrono::milliseconds(80);
// Pause between probes of a server that did not answer.
constexpr Duration kReprobeInterval = std::chrono::milliseconds(700);
// A server that answered this process is not asked again on a peer's word for
// this long: the peer may be cut off from it.
constexpr Duration kHearsayInterval = std::chrono::seconds(2);

}  // namespace

void ServerProber::Start() {
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->loop->Sleep(kReprobeInterval, yield);
      std::vector<std::string> lost;
      for (const auto& entry : this->view->Unreachable()) {
        lost.push_back(entry.first);
      }
      lost.insert(lost.end(), this->view->Unregistered().begin(),
                  this->view->Unregistered().end());
      this->Probe(lost);
    }
  });
}

void ServerProber::Probe(const std::vector<std::string>& servers) {
  for (const std::string& id : servers) {
    const BackendServer* server = this->view->FindServer(id);
    if (server == nullptr || !this->in_progress.insert(id).second) {
      continue;
    }
    this->asked_at[id] = this->loop->Now();
    this->loop->Spawn([this, copy = *server](Coroutine yield) {
      this->ProbeOne(copy, yield);
      this->in_progress.erase(copy.id);
    });
  }
}

void ServerProber::ProbeOnHearsay(const std::vector<std::string>& servers) {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> due;
  for (const std::string& id : servers) {
    const auto asked = this->asked_at.find(id);
    if (asked == this->asked_at.end() ||
        now - asked->second > kHearsayInterval) {
      due.push_back(id);
    }
  }
  this->Probe(due);
}

bool ServerProber::Answers(const BackendServer& server,
                           std::string* reason,
                           Coroutine yield) {
  bool answered = false;
  const auto ask = [&](Coroutine inner) {
    const Result<EngineReport> report =
        this->engines->Report(server, kProbeTimeout, inner);
    answered = answered || report.has_value();
    if (report.has_error()) {
      *reason = report.error().message;
    }
  };
  RunAll(this->loop,
         {ask,
          [&](Coroutine inner) {
            this->loop->Sleep(kSecondProbe, inner);
            if (!answered) {
              ask(inner);
            }
          }},
         yield);
  return answered;
}

void ServerProber::ProbeOne(const BackendServer& server, Coroutine yield) {
  const bool was_reachable = this->view->IsReachable(server.id);
  std::string reason;
  const bool answered = this->Answers(server, &reason, yield);
  if (this->view->FindServer(server.id) == nullptr) {
    return;
  }
  if (!answered && was_reachable) {
    LogWarning("probe_failed", {{"server", server.id}, {"reason", reason}});
  }
  this->view->SetReachable(server.id, answered, this->loop->Now());
  if (answered != was_reachable) {
    this->changed();
  }
}

}  // namespace kumquatcart
