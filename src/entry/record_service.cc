#include "entry/record_service.h"

#include "base/logging.h"
#include "net/http_status.h"
#include "peers/record_exchange.h"

namespace kumquatcart {

namespace {

// Smaller answers are counted, but not logged one by one.
constexpr std::size_t kMinLoggedBytes = 64 * 1024;

}  // namespace

SimpleHttpResponse RecordService::Answer(StoreTopic topic,
                                         const TopicFollower& follower,
                                         std::int64_t from) {
  std::string body = EncodeTopicBatch(follower.RecordsSince(from));
  const MetricLabels labels{{"topic", ToString(topic)}};
  this->metrics->GetCounter("kumquatcart_peer_record_requests_total", labels)
      .Add();
  Counter& sent =
      this->metrics->GetCounter("kumquatcart_peer_record_bytes_total", labels);
  sent.Add(body.size());
  if (body.size() >= kMinLoggedBytes) {
    LogInfo("records_sent", {{"topic", ToString(topic)},
                             {"from", from},
                             {"end", follower.End()},
                             {"bytes", body.size()},
                             {"total_bytes", sent.Value()}});
  }
  return SimpleHttpResponse{kHttpOk, std::move(body)};
}

}  // namespace kumquatcart
