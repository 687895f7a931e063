// What was sent and what came back, gathered from all workers.
#ifndef LOAD_RUN_RECORD_H_
#define LOAD_RUN_RECORD_H_

#include <mutex>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "load/schedule.h"
#include "load/verdict.h"

namespace kumquatcart::load {

// One request that was sent.
struct SentRequest {
  RequestKind kind = RequestKind::kStreamed;
  std::string organisation;
  std::string request_id;
  std::string key;
  bool is_last_of_key = true;  // No later repeat of the same key.
  Verdict verdict;
};

// All methods are thread safe; the histograms are so by themselves.
class RunRecord {
 public:
  void Add(SentRequest sent);

  // Precondition: the run is over.
  const std::vector<SentRequest>& Sent() const { return this->sent; }

  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram whole_answer;  // Of completed requests, from planned start.

 private:
  std::mutex mutex;  // Guards `sent`; leaf in the lock order.
  std::vector<SentRequest> sent;
};

}  // namespace kumquatcart::load

#endif  // LOAD_RUN_RECORD_H_
