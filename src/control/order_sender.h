// Gives orders to engines, each checked against the lease just before it goes.
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
#include "control/lease_keeper.h"
#include "model/engine.h"
#include "platform/engine_control.h"

namespace kumquatcart {

// An order and where it goes.
struct AddressedOrder {
  Endpoint endpoint;
  EngineOrder order;  // Id, fence and validity are set by the sender.
  bool enforces_fence = true;

  auto Tie() const {
    return std::tie(this->endpoint, this->order, this->enforces_fence);
  }
};

enum class OrderResult {
  kApplied,
  kRefused,  // By the engine, or provably never received.
  kNotSent,  // The lease does not cover it.
  kUnknown,
};
const char* ToString(OrderResult result);

// What became of one order.
struct OrderReport {
  OrderResult result = OrderResult::kUnknown;
  std::string detail;
  // The engine's status after the order, or read back when the answer was lost.
  std::optional<EngineStatus> status;

  auto Tie() const {
    return std::tie(this->result, this->detail, this->status);
  }
};

// Sends batches in parallel. Thread safe.
class OrderSender {
 public:
  // Tells the right to give orders at a moment.
  using StandingSource = std::function<LeaseStanding(MonotonicTime now)>;

  // Precondition: the pointers outlive the sender.
  OrderSender(Clock* clock,
              WorkerPool* pool,
              EngineControl* engines,
              MetricRegistry* metrics,
              StandingSource standing,
              Duration timeout,
              Duration validity);

  // Sends every order under fence `fence` and waits for the results, in the
  // order given. An order goes only while the lease with that fence covers it.
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
