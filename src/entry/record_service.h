// Answers requests of other entry VMs for store records.
#ifndef ENTRY_RECORD_SERVICE_H_
#define ENTRY_RECORD_SERVICE_H_

#include "base/metrics.h"
#include "control/topic_follower.h"
#include "entry/simple_http_server.h"

namespace kumquatcart {

// Must be used on the event loop's thread.
class RecordService {
 public:
  explicit RecordService(MetricRegistry* metrics) : metrics(metrics) {}

  // Returns the records of `follower`, which follows `topic`, from offset
  // `from` on.
  SimpleHttpResponse Answer(StoreTopic topic,
                            const TopicFollower& follower,
                            std::int64_t from);

 private:
  MetricRegistry* const metrics;
};

}  // namespace kumquatcart

#endif  // ENTRY_RECORD_SERVICE_H_
