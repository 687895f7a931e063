// Answers requests of other entry VMs for store records.
#ifndef ENTRY_RECORD_SERVICE_H_
#define ENTRY_RECORD_SERVICE_H_

#include "base/metrics.h"
#include "base/token_bucket.h"
#include "control/topic_follower.h"
#include "entry/simple_http_server.h"

namespace kumquatcart {

// Sends a limited number of bytes per second and rejects further requests
// immediately: the link of a VM cannot carry a large record to all peers at
// once, and requests that share it would all time out. Must be used on the
// event loop's thread.
class RecordService {
 public:
  // `link_bytes_per_second`: bandwidth of this VM's link.
  RecordService(MetricRegistry* metrics, double link_bytes_per_second);

  // Returns the records of `follower`, which follows `topic`, from `from` on;
  // status 429 if the limit is reached at `now`.
  SimpleHttpResponse Answer(StoreTopic topic,
                            const TopicFollower& follower,
                            TopicPosition from,
                            MonotonicTime now);

 private:
  MetricRegistry* const metrics;
  TokenBucket byte_budget;
};

}  // namespace kumquatcart

#endif  // ENTRY_RECORD_SERVICE_H_
