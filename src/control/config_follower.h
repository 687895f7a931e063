// Follows the configuration stream of the log.
#ifndef CONTROL_CONFIG_FOLLOWER_H_
#define CONTROL_CONFIG_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <thread>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/config_replica.h"
#include "control/config_settings.h"
#include "platform/log_service.h"

namespace kumquatcart {

// Reads the log on a thread of its own and hands the records to the replica. A
// fresh node begins with the newest snapshot. All methods are thread safe.
class ConfigFollower {
 public:
  // Whether this node reads the log at present; others follow through peers.
  using ReaderPredicate = std::function<bool()>;

  // Precondition: the pointers outlive the follower.
  ConfigFollower(Clock* clock,
                 LogService* log,
                 ConfigReplica* replica,
                 MetricRegistry* metrics,
                 const ConfigSettings& settings);
  // Stops the follower.
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  // Precondition: not started. Without it the node always reads.
  void SetReaderStrategy(ReaderPredicate predicate);

  // Called after new records were taken from the log, to push them to peers.
  // Precondition: not started.
  void SetOnNews(std::function<void()> callback);

  void Start();
  // Returns when the read in progress has ended.
  void Stop();

  // Reads once, waiting up to `wait` for a record. Errors: as LogService::Read.
  Status PollOnce(Duration wait);

  // Whether the last read was answered; true before the first one.
  bool IsPlatformReachable() const;

 private:
  void Run();
  // Pauses in short steps, so that Stop is quick.
  void Pause(Duration duration);
  Status LoadSnapshot();
  void ReportLag(Offset last);

  Clock* const clock;
  LogService* const log;
  ConfigReplica* const replica;
  const ConfigSettings settings;
  ReaderPredicate reads_log;
  std::function<void()> on_new_records;
  Gauge& lag;
  Gauge& reachable_gauge;
  Counter& reads;
  Counter& read_failures;
  Counter& gaps;
  std::atomic<bool> platform_reachable{true};
  std::atomic<bool> snapshot_tried{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_FOLLOWER_H_
