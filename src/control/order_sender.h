// Sends orders to engines and checks each against the lease before sending it.
#ifndef CONTROL_ORDER_SENDER_H_
#define CONTROL_ORDER_SENDER_H_

#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/metrics.h"
#include "base/worker_pool.h"
#include "control/lease_manager.h"
#include "model/engine.h"
#include "platform/engine_control.h"

namespace kumquatcart {

// An order and its destination.
struct AddressedOrder {
  Endpoint endpoint;
  EngineOrder order;  // OrderSender sets id, fence and validity.
  bool enforces_fence = true;

  auto Tie() const {
    return std::tie(this->endpoint, this->order, this->enforces_fence);
  }
};

enum class OrderResult {
  kApplied,
  kRefused,  // Rejected by the engine, or provably not received by it.
  kNotSent,  // The lease does not cover the order.
  kUnknown,
};
const char* ToString(OrderResult result);

// Outcome of one order.
struct OrderReport {
  OrderResult result = OrderResult::kUnknown;
  std::string detail;
  // The engine's status after the order, or fetched separately if the answer to
  // the order was lost.
  std::optional<EngineStatus> status;

  auto Tie() const {
    return std::tie(this->result, this->detail, this->status);
  }
};

// Sends batches in parallel. Thread safe.
class OrderSender {
 public:
  // Returns which orders the lease permits at `now`.
  using StandingSource = std::function<OrderAuthority(MonotonicTime now)>;

  // Precondition: the pointers outlive the sender.
  OrderSender(Clock* clock,
              WorkerPool* pool,
              EngineControl* engines,
              MetricRegistry* metrics,
              StandingSource standing,
              Duration timeout,
              Duration validity);

  // Sends the orders with fencing number `fence` and waits for the results,
  // which have the same sequence. An order is sent only while the lease with
  // that number covers it.
  std::vector<OrderReport> SendAll(FencingNumber fence,
                                   const std::vector<AddressedOrder>& orders);

 private:
  OrderReport Send(FencingNumber fence, const AddressedOrder& addressed);
  OrderReport ReadBack(const AddressedOrder& addressed, std::string detail);

  Clock* const clock;
  WorkerPool* const pool;
  EngineControl* const engines;
  MetricRegistry* const metrics;
  const StandingSource standing;
  const Duration timeout;
  const Duration validity;
};

}  // namespace kumquatcart

#endif  // CONTROL_ORDER_SENDER_H_
