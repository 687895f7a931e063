#include "entry/plain_load_balancer.h"

#include <algorithm>

#include "entry/entry_constants.h"

namespace kumquatcart {

namespace {

// Load penalty, as a fraction of a server's slots, on servers in other failure
// domains.
constexpr double kRemoteDomainPenalty = 0.1;
// Running and queued requests per slot. Beyond this a server would decline the
// request or answer too late.
constexpr int kMaxRequestsPerSlot = 4;
// Weight of a server's recent failures relative to its load.
constexpr double kFailureWeight = 1.0;

}  // namespace

SlotResult PlainLoadBalancer::Acquire(const SlotQuery& query) {
  SlotResult result;
  result.retry_after = kMinForwardRetryAfter;
  result.reason = "the service has no available server";
  const MonotonicTime now = this->loop->Now();
  const BackendServer* best = nullptr;
  double best_score = 0;
  for (const auto& entry : this->view->Servers()) {
    const BackendServer& server = entry.second;
    if (server.service != query.service || server.draining ||
        query.excluded.count(server.id) > 0) {
      continue;
    }
    const int taken = this->counts.requests->Total(server.id);
    if (taken >= server.slots * kMaxRequestsPerSlot) {
      result.reason = "all servers are at their request limit";
      continue;
    }
    const double score =
        static_cast<double>(taken) / server.slots +
        kFailureWeight * this->failures.Of(server.id, now) +
        (server.failure_domain == this->failure_domain ? 0
                                                       : kRemoteDomainPenalty);
    if (best == nullptr || score < best_score) {
      best = &server;
      best_score = score;
    }
  }
  if (best != nullptr) {
    result.slot =
        std::make_unique<ServerSlot>(this->counts, *best, "", 0, 0, nullptr);
  }
  return result;
}

void PlainLoadBalancer::NoteFailure(const std::string& server) {
  this->failures.NoteFailure(server, this->loop->Now());
}

void PlainLoadBalancer::NoteSuccess(const std::string& server) {
  this->failures.NoteSuccess(server, this->loop->Now());
}

}  // namespace kumquatcart
