// What every request of the gateway shares.
#ifndef GATEWAY_GATEWAY_CONTEXT_H_
#define GATEWAY_GATEWAY_CONTEXT_H_

#include <atomic>

#include "base/clock.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "gateway/active_requests.h"
#include "gateway/exchange_registry.h"
#include "gateway/gateway_settings.h"
#include "gateway/idempotency_store.h"
#include "gateway/request_metrics.h"
#include "gateway/upstream_clients.h"
#include "routing/admission.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace kumquatcart {

// Parts that the gateway is built on. Precondition: they outlive it.
struct GatewayParts {
  Clock* clock = nullptr;
  WorkerPool* workers = nullptr;
  Board* board = nullptr;
  Router* router = nullptr;
  Admission* admission = nullptr;
  RetryBudget* retry_budget = nullptr;
  MetricRegistry* metrics = nullptr;
  IdempotencyStore* idempotency = nullptr;
};

// Shared state of all requests. Thread safe as its members are.
struct GatewayContext {
  GatewayContext(const GatewayParts& parts, const GatewaySettings& settings)
      : parts(parts), settings(settings), metrics(parts.metrics) {}

  const GatewayParts parts;
  const GatewaySettings settings;
  UpstreamClients clients;
  RequestMetrics metrics;
  ExchangeRegistry exchanges;
  ActiveRequests active;  // Not yet answered in full.
  ActiveRequests live;    // Still in use, if only to take in a late event.
  std::atomic<bool> stopping{false};
};

}  // namespace kumquatcart

#endif  // GATEWAY_GATEWAY_CONTEXT_H_
