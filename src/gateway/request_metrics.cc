#include "gateway/request_metrics.h"

namespace kumquatcart {

namespace {

constexpr std::array kAllOutcomes = {RequestOutcome::kCompleted,
                                     RequestOutcome::kNotRun,
                                     RequestOutcome::kUnknown};

constexpr char kDroppedName[] = "kumquatcart_gateway_wrong_chunks_total";

}  // namespace

RequestMetrics::RequestMetrics(MetricRegistry* registry)
    : retries(registry->GetCounter("kumquatcart_gateway_retries_total")),
      resumed_streams(
          registry->GetCounter("kumquatcart_gateway_resumed_streams_total")),
      callers_gone(
          registry->GetCounter("kumquatcart_gateway_callers_gone_total")),
      refused_input(
          registry->GetCounter("kumquatcart_gateway_refused_input_total")),
      tokens_relayed(
          registry->GetCounter("kumquatcart_gateway_tokens_relayed_total")),
      silent_connections(
          registry->GetCounter("kumquatcart_gateway_silent_connections_total")),
      foreign_answers(
          registry->GetCounter(kDroppedName, {{"reason", "foreign"}})),
      duplicate_answers(
          registry->GetCounter(kDroppedName, {{"reason", "duplicate"}})),
      unordered_answers(
          registry->GetCounter(kDroppedName, {{"reason", "out-of-order"}})),
      first_token(
          registry->GetHistogram("kumquatcart_gateway_first_token_seconds")),
      active_requests(
          registry->GetGauge("kumquatcart_gateway_active_requests")),
      peak_buffered_bytes(
          registry->GetGauge("kumquatcart_gateway_peak_buffered_bytes")) {
  for (const RequestOutcome outcome : kAllOutcomes) {
    const MetricLabels labels = {{"outcome", ToString(outcome)}};
    PerOutcome& entry = this->by_outcome[static_cast<std::size_t>(outcome)];
    entry.count =
        &registry->GetCounter("kumquatcart_gateway_requests_total", labels);
    entry.latency =
        &registry->GetHistogram("kumquatcart_gateway_request_seconds", labels);
  }
}

void RequestMetrics::RecordOutcome(RequestOutcome outcome, Duration latency) {
  const PerOutcome& entry = this->by_outcome[static_cast<std::size_t>(outcome)];
  entry.count->Add();
  entry.latency->Record(latency);
}

void RequestMetrics::RecordBuffered(std::size_t bytes) {
  const auto value = static_cast<double>(bytes);
  const std::lock_guard<std::mutex> lock(this->peak_mutex);
  if (value > this->peak_buffered_bytes.Value()) {
    this->peak_buffered_bytes.Set(value);
  }
}

std::map<std::string, std::uint64_t> RequestMetrics::OutcomeCounts() const {
  std::map<std::string, std::uint64_t> counts;
  for (const RequestOutcome outcome : kAllOutcomes) {
    const std::size_t index = static_cast<std::size_t>(outcome);
    counts[ToString(outcome)] = this->by_outcome[index].count->Value();
  }
  return counts;
}

}  // namespace kumquatcart
