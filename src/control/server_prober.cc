#include "control/server_prober.h"

#include <algorithm>

#include "base/contains.h"
#include "base/logging.h"
#include "net/run_all.h"

namespace kumquatcart {

namespace {

// A healthy server answers within a few milliseconds; TCP retransmits a lost
// packet after 200 ms.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(260);
// Delay of the second probe, sent on another connection if the first one is
// still unanswered.
constexpr Duration kSecondProbeDelay = std::chrono::milliseconds(80);
// Interval between probes of an unreachable server.
constexpr Duration kReprobeInterval = std::chrono::milliseconds(700);
// Minimum time between probes of a reachable server that are triggered by
// peers' digests: the server may be unreachable from the peer only.
constexpr Duration kPeerReportProbeInterval = std::chrono::milliseconds(1500);
// Time after which a server that this process found unreachable counts as
// reachable again, if the planner does not report it as unreachable.
constexpr Duration kLocalResultLifetime = std::chrono::milliseconds(1500);
// Time for which a possibly lost server is listed in digests.
constexpr Duration kSuspicionLifetime = std::chrono::milliseconds(500);

}  // namespace

void ServerProber::Start() {
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->loop->Sleep(kReprobeInterval, yield);
      this->CheckUnreachable();
    }
  });
}

const PeerState* ServerProber::PeerPlannerOfServer(
    const std::string& server) const {
  const BackendServer* known = this->view->FindServer(server);
  return known == nullptr ? nullptr
                          : this->role->PeerPlannerOf(known->failure_domain);
}

void ServerProber::CheckUnreachable() {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> to_probe;
  std::vector<std::string> reachable_again;
  for (const auto& [id, since] : this->view->Unreachable()) {
    const PeerState* planner = this->PeerPlannerOfServer(id);
    if (planner == nullptr) {
      to_probe.push_back(id);
    } else if (!Contains(planner->digest.unreachable, id) &&
               now - since > kLocalResultLifetime) {
      reachable_again.push_back(id);
    }
  }
  for (const std::string& id : this->view->Unregistered()) {
    if (this->PeerPlannerOfServer(id) == nullptr) {
      to_probe.push_back(id);
    }
  }
  this->Probe(to_probe);
  for (const std::string& id : reachable_again) {
    this->view->SetReachable(id, true, now);
  }
  if (!reachable_again.empty()) {
    this->changed();
  }
}

void ServerProber::ReportSuspected(const std::vector<std::string>& servers) {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> to_probe;
  const PeerState* notified_planner = nullptr;
  for (const std::string& id : servers) {
    const PeerState* planner = this->PeerPlannerOfServer(id);
    if (planner == nullptr) {
      to_probe.push_back(id);
    } else {
      this->suspicion_times[id] = now;
      notified_planner = planner;
    }
  }
  this->Probe(to_probe);
  if (notified_planner != nullptr) {
    this->send_digest(*notified_planner);
  }
}

std::vector<std::string> ServerProber::SuspectedServers() const {
  std::vector<std::string> suspected_servers;
  for (const auto& [id, at] : this->suspicion_times) {
    if (this->loop->Now() - at < kSuspicionLifetime) {
      suspected_servers.push_back(id);
    }
  }
  return suspected_servers;
}

void ServerProber::HandlePeerDigest(const NodeDigest& digest) {
  std::vector<std::string> to_probe;
  bool is_changed = false;
  for (const std::string& id : digest.unreachable) {
    const PeerState* planner = this->PeerPlannerOfServer(id);
    if (planner == nullptr) {
      to_probe.push_back(id);
    } else if (planner->digest.node == digest.node &&
               this->view->IsReachable(id)) {
      this->view->SetReachable(id, false, this->loop->Now());
      is_changed = true;
    }
  }
  for (const std::string& id : digest.suspected_servers) {
    if (this->PeerPlannerOfServer(id) == nullptr) {
      to_probe.push_back(id);
    }
  }
  this->ProbePeerReported(to_probe);
  if (is_changed) {
    this->changed();
  }
}

void ServerProber::Probe(const std::vector<std::string>& servers) {
  for (const std::string& id : servers) {
    const BackendServer* server = this->view->FindServer(id);
    if (server == nullptr || !this->in_progress.insert(id).second) {
      continue;
    }
    this->probe_times[id] = this->loop->Now();
    this->loop->Spawn([this, copy = *server](Coroutine yield) {
      this->ProbeOne(copy, yield);
      this->in_progress.erase(copy.id);
    });
  }
}

void ServerProber::ProbePeerReported(const std::vector<std::string>& servers) {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> due;
  for (const std::string& id : servers) {
    const auto last_probe = this->probe_times.find(id);
    if (this->view->IsReachable(id) &&
        (last_probe == this->probe_times.end() ||
         now - last_probe->second > kPeerReportProbeInterval)) {
      due.push_back(id);
    }
  }
  this->Probe(due);
}

bool ServerProber::AnswersProbe(const BackendServer& server,
                                std::string* reason,
                                Coroutine yield) {
  bool answered = false;
  const auto probe = [&](Coroutine inner) {
    const Result<EngineReport> report =
        this->engines->Report(server, kProbeTimeout, inner);
    answered = answered || report.has_value();
    if (report.has_error()) {
      *reason = report.error().message;
    }
  };
  RunAll(this->loop,
         {probe,
          [&](Coroutine inner) {
            this->loop->Sleep(kSecondProbeDelay, inner);
            if (!answered) {
              probe(inner);
            }
          }},
         yield);
  return answered;
}

void ServerProber::ProbeOne(const BackendServer& server, Coroutine yield) {
  const bool was_reachable = this->view->IsReachable(server.id);
  std::string reason;
  const bool answered = this->AnswersProbe(server, &reason, yield);
  if (!answered && was_reachable) {
    LogWarning("probe_failed", {{"server", server.id},
                                {"address", server.endpoint.ToString()},
                                {"started_ms", server.started_ms},
                                {"reason", reason}});
  }
  this->SetReachable(server, answered);
}

void ServerProber::SetReachable(const BackendServer& server, bool reachable) {
  const BackendServer* known = this->view->FindServer(server.id);
  if (known == nullptr || known->started_ms != server.started_ms) {
    return;
  }
  const bool was_reachable = this->view->IsReachable(server.id);
  this->view->SetReachable(server.id, reachable, this->loop->Now());
  if (reachable != was_reachable) {
    this->changed();
  }
}

void ServerProber::HandleWrongServer(const BackendServer& server) {
  this->SetReachable(server, false);
}

}  // namespace kumquatcart
