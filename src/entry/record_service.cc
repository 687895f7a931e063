#include "entry/record_service.h"

#include "base/logging.h"
#include "net/http_status.h"
#include "peers/record_exchange.h"

namespace kumquatcart {

namespace {

// Share of the link for records, which leaves the rest to callers' requests.
constexpr double kLinkShare = 0.2;
constexpr Duration kBurst = std::chrono::seconds(1);
// Smaller answers are counted, but not logged one by one.
constexpr std::size_t kMinLoggedBytes = 64 * 1024;

}  // namespace

RecordService::RecordService(MetricRegistry* metrics,
                             double link_bytes_per_second)
    : metrics(metrics),
      byte_budget(kLinkShare * link_bytes_per_second, kBurst, MonotonicTime()) {
}

SimpleHttpResponse RecordService::Answer(StoreTopic topic,
                                         const TopicFollower& follower,
                                         TopicPosition from,
                                         MonotonicTime now) {
  const MetricLabels labels{{"topic", ToString(topic)}};
  this->metrics->GetCounter("kumquatcart_peer_record_requests_total", labels)
      .Add();
  if (!this->byte_budget.HasCredit(now)) {
    this->metrics
        ->GetCounter("kumquatcart_peer_record_rejections_total", labels)
        .Add();
    return SimpleHttpResponse{kHttpTooManyRequests, ""};
  }
  std::string body = EncodeTopicBatch(follower.RecordsSince(from));
  this->byte_budget.Spend(static_cast<double>(body.size()), now);
  Counter& sent =
      this->metrics->GetCounter("kumquatcart_peer_record_bytes_total", labels);
  sent.Add(body.size());
  if (body.size() >= kMinLoggedBytes) {
    LogInfo("records_sent", {{"topic", ToString(topic)},
                             {"from", from.offset},
                             {"end", follower.End()},
                             {"bytes", body.size()},
                             {"total_bytes", sent.Value()}});
  }
  return SimpleHttpResponse{kHttpOk, std::move(body)};
}

}  // namespace kumquatcart
