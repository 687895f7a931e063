// Reads the configuration stream of the log.
#ifndef CONTROL_CONFIG_FOLLOWER_H_
#define CONTROL_CONFIG_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "base/log_limiter.h"
#include "base/metrics.h"
#include "control/config_replica.h"
#include "control/config_settings.h"
#include "platform/log_service.h"

namespace kumquatcart {

// Reads the log on a dedicated thread and applies the records to the replica. A
// new node first loads the newest snapshot. All methods are thread safe.
//
// The log may come back from an older copy: its newest records are lost, and
// their offsets are given out again. Records are applied only if the same
// answer repeats the last record known. If it does not, the whole history is
// read again as soon as the log has a record that is newer than all that is
// known; until then what is known stays in force.
class ConfigFollower {
 public:
  // Returns whether this node currently reads the log. Nodes that do not read
  // it receive the records from peers.
  using ReaderPredicate = std::function<bool()>;

  // Precondition: the pointers outlive the follower.
  ConfigFollower(Clock* clock,
                 LogService* log,
                 ConfigReplica* replica,
                 MetricRegistry* metrics,
                 const ConfigSettings& settings);
  // Calls Stop.
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  // Sets the predicate; without one the node always reads the log.
  // Precondition: not started.
  void SetReaderPredicate(ReaderPredicate predicate);

  // Sets a callback that runs after new records were read from the log, to push
  // them to peers. Precondition: not started.
  void SetOnNewRecords(std::function<void()> callback);

  void Start();
  // Blocks until the read in progress has ended.
  void Stop();

  // Reads once, waiting up to `wait` for a record. Errors: as LogService::Read.
  Status PollOnce(Duration wait);

  // Returns whether the last read got a response; true before the first read.
  bool IsPlatformReachable() const;

 private:
  void Run();
  // Sleeps in short steps, so that Stop returns quickly.
  void Pause(Duration duration);
  Result<LogBatch> Read(Offset from, Duration wait);
  Status LoadSnapshot();
  void Apply(const LogBatch& batch);
  // Returns whether the record at `place` is to be compared with the log's
  // after the answer `batch` to a read beyond it.
  bool IsConfirmationDue(const LogPlace& place, const LogBatch& batch);
  // Compares the record at `place` with the log's and applies what follows it,
  // or follows another history. `batch` is the answer to a read beyond `place`.
  Status Confirm(const LogPlace& place, const LogBatch& batch);
  // Reads the log's history, which ends at `last` and does not have the record
  // at `place`, if it is newer.
  Status FollowHistory(const LogPlace& place, Offset last);
  Status ReadHistory();
  void ReportLag(Offset last);
  void ReportFailure(const Error& error);

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
  Counter& replaced_histories;
  std::atomic<bool> platform_reachable{true};
  std::atomic<bool> snapshot_tried{false};
  std::atomic<bool> stopping{false};

  // Guards the fields below; a leaf in the lock order.
  std::mutex lines_mutex;
  MonotonicTime confirm_at;
  LogLimiter behind_lines;
  LogLimiter failure_lines;
  LogLimiter lost_lines;

  std::thread thread;
};

}  // namespace kumquatcart

#endif  // CONTROL_CONFIG_FOLLOWER_H_
