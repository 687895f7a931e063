// Counts and latencies of the request path.
#ifndef GATEWAY_REQUEST_METRICS_H_
#define GATEWAY_REQUEST_METRICS_H_

#include <array>
#include <map>
#include <mutex>
#include <string>

#include "base/metrics.h"
#include "gateway/token_sequencer.h"
#include "model/request.h"

namespace kumquatcart {

// The request path's metrics, looked up once. Thread safe.
class RequestMetrics {
 public:
  explicit RequestMetrics(MetricRegistry* registry);

  // A request got its final answer `latency` after it came in.
  void RecordOutcome(RequestOutcome outcome, Duration latency);

  // Requests ended so far, by name of outcome.
  std::map<std::string, std::uint64_t> OutcomeCounts() const;

  Counter& retries;
  Counter& resumed_streams;
  Counter& callers_gone;
  Counter& refused_input;
  Counter& tokens_relayed;
  Counter& silent_connections;
  Counter& foreign_answers;    // Dropped: of another attempt.
  Counter& duplicate_answers;  // Dropped: given before.
  Counter& unordered_answers;  // Held until an earlier one came.
  LatencyHistogram& first_token;
  Gauge& active_requests;
  Gauge& peak_buffered_bytes;  // Most that one stream held for its caller.

  // Raises `peak_buffered_bytes`.
  void RecordBuffered(std::size_t bytes);

 private:
  static constexpr std::size_t kOutcomes = 3;

  struct PerOutcome {
    Counter* count = nullptr;
    LatencyHistogram* latency = nullptr;
  };
  std::array<PerOutcome, kOutcomes> by_outcome;
  std::mutex peak_mutex;  // Guards raising the peak; leaf in the lock order.
};

}  // namespace kumquatcart

#endif  // GATEWAY_REQUEST_METRICS_H_
