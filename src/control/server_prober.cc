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
constexpr Duration kSecondProbe = std::chrono::milliseconds(80);
// Interval between probes of an unreachable server.
constexpr Duration kReprobeInterval = std::chrono::milliseconds(700);
// Minimum time between probes of a reachable server that are triggered by
// peers' digests: the server may be unreachable from the peer only.
constexpr Duration kHearsayInterval = std::chrono::milliseconds(1500);
// Time after which a server that this process found unreachable counts as
// reachable again, if the planner does not report it as unreachable.
constexpr Duration kOwnWordLifetime = std::chrono::milliseconds(1500);
// Time for which a possibly lost server is listed in digests.
constexpr Duration kDoubtLifetime = std::chrono::milliseconds(500);

}  // namespace

void ServerProber::Start() {
  this->loop->Spawn([this](Coroutine yield) {
    for (;;) {
      this->loop->Sleep(kReprobeInterval, yield);
      this->ReviewUnreachable();
    }
  });
}

const PeerState* ServerProber::PlannerOf(const std::string& server) const {
  const BackendServer* known = this->view->FindServer(server);
  return known == nullptr ? nullptr : this->role->Other(known->failure_domain);
}

void ServerProber::ReviewUnreachable() {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> own;
  std::vector<std::string> back;
  for (const auto& [id, since] : this->view->Unreachable()) {
    const PeerState* planner = this->PlannerOf(id);
    if (planner == nullptr) {
      own.push_back(id);
    } else if (!Contains(planner->digest.unreachable, id) &&
               now - since > kOwnWordLifetime) {
      back.push_back(id);
    }
  }
  for (const std::string& id : this->view->Unregistered()) {
    if (this->PlannerOf(id) == nullptr) {
      own.push_back(id);
    }
  }
  this->Probe(own);
  for (const std::string& id : back) {
    this->view->SetReachable(id, true, now);
  }
  if (!back.empty()) {
    this->changed();
  }
}

void ServerProber::Doubt(const std::vector<std::string>& servers) {
  const MonotonicTime now = this->loop->Now();
  std::vector<std::string> own;
  const PeerState* told = nullptr;
  for (const std::string& id : servers) {
    const PeerState* planner = this->PlannerOf(id);
    if (planner == nullptr) {
      own.push_back(id);
    } else {
      this->doubted_at[id] = now;
      told = planner;
    }
  }
  this->Probe(own);
  if (told != nullptr) {
    this->tell(*told);
  }
}

std::vector<std::string> ServerProber::Doubted() const {
  std::vector<std::string> doubted;
  for (const auto& [id, at] : this->doubted_at) {
    if (this->loop->Now() - at < kDoubtLifetime) {
      doubted.push_back(id);
    }
  }
  return doubted;
}

void ServerProber::HearPeer(const NodeDigest& digest) {
  std::vector<std::string> to_ask;
  bool learnt = false;
  for (const std::string& id : digest.unreachable) {
    const PeerState* planner = this->PlannerOf(id);
    if (planner == nullptr) {
      to_ask.push_back(id);
    } else if (planner->digest.node == digest.node &&
               this->view->IsReachable(id)) {
      this->view->SetReachable(id, false, this->loop->Now());
      learnt = true;
    }
  }
  for (const std::string& id : digest.doubted) {
    if (this->PlannerOf(id) == nullptr) {
      to_ask.push_back(id);
    }
  }
  this->ProbeOnHearsay(to_ask);
  if (learnt) {
    this->changed();
  }
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
    if (this->view->IsReachable(id) &&
        (asked == this->asked_at.end() ||
         now - asked->second > kHearsayInterval)) {
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
