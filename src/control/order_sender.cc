#include "control/order_sender.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace kumquatcart {

namespace {

bool Covers(const OrderAuthority& standing,
            FencingNumber fence,
            bool enforces_fence) {
  if (standing.right == EngineScope::kNone || standing.fence != fence) {
    return false;
  }
  return standing.right == EngineScope::kAllEngines || enforces_fence;
}

bool IsUnknown(ErrorCode code) {
  return code == ErrorCode::kUnknown || code == ErrorCode::kTimeout;
}

}  // namespace

const char* ToString(OrderResult result) {
  switch (result) {
    case OrderResult::kApplied:
      return "applied";
    case OrderResult::kRefused:
      return "refused";
    case OrderResult::kNotSent:
      return "not-sent";
    case OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

OrderSender::OrderSender(Clock* clock,
                         WorkerPool* pool,
                         EngineControl* engines,
                         MetricRegistry* metrics,
                         StandingSource standing,
                         Duration timeout,
                         Duration validity)
    : clock(clock),
      pool(pool),
      engines(engines),
      metrics(metrics),
      standing(std::move(standing)),
      timeout(timeout),
      validity(validity) {}

std::vector<OrderReport> OrderSender::SendAll(
    FencingNumber fence,
    const std::vector<AddressedOrder>& orders) {
  std::vector<OrderReport> reports(orders.size());
  std::vector<std::function<void()>> batch;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    batch.emplace_back([&, i] { reports[i] = this->Send(fence, orders[i]); });
  }
  this->pool->RunAll(std::move(batch));
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const std::string kind = Json(orders[i].order.kind).get<std::string>();
    this->metrics
        ->GetCounter("kumquatcart_engine_orders_total",
                     {{"kind", kind}, {"result", ToString(reports[i].result)}})
        .Add();
  }
  return reports;
}

OrderReport OrderSender::Send(FencingNumber fence,
                              const AddressedOrder& addressed) {
  EngineOrder order = addressed.order;
  order.id = MakeId<OrderId>();
  order.fence = fence;
  const MonotonicTime now = this->clock->Now();
  const OrderAuthority standing = this->standing(now);
  if (!Covers(standing, fence, addressed.enforces_fence)) {
    return OrderReport{OrderResult::kNotSent, "the lease does not cover it",
                       std::nullopt};
  }
  const bool leased = standing.right == EngineScope::kAllEngines;
  const Duration validity =
      leased ? std::min(this->validity, standing.expires_at - now)
             : this->validity;
  // The engine regards an order with a validity of zero as expired.
  order.valid_for_ms = std::max<std::int64_t>(ToMillis(validity), 1);
  Result<EngineStatus> status =
      this->engines->SendOrder(addressed.endpoint, order, this->timeout);
  if (status.has_value()) {
    return OrderReport{OrderResult::kApplied, "", std::move(status).value()};
  }
  if (IsUnknown(status.error().code)) {
    return this->ReadBack(addressed, status.error().message);
  }
  return OrderReport{OrderResult::kRefused, status.error().message,
                     std::nullopt};
}

OrderReport OrderSender::ReadBack(const AddressedOrder& addressed,
                                  std::string detail) {
  OrderReport report{OrderResult::kUnknown, std::move(detail), std::nullopt};
  Result<EngineStatus> status =
      this->engines->FetchStatus(addressed.endpoint, this->timeout);
  if (status.has_value()) {
    report.status = std::move(status).value();
  }
  return report;
}

}  // namespace kumquatcart
