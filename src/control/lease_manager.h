// Claims and renews the lease of this node's failure domain.
#ifndef CONTROL_LEASE_MANAGER_H_
#define CONTROL_LEASE_MANAGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/log_limiter.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "base/periodic_task.h"
#include "base/setting.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/lease_rules.h"
#include "model/log_place.h"
#include "platform/log_service.h"

namespace kumquatcart {

struct LeaseSettings {
  Duration duration = std::chrono::seconds(4);
  Duration renew_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::milliseconds(500);
  // Additional wait per candidate rank before claiming a free lease.
  Duration claim_stagger = std::chrono::milliseconds(500);
  // Number of alive members per failure domain that read the lease stream.
  std::int64_t candidates = 3;
};
SettingGroup DescribeSettings(LeaseSettings* settings);

// Engines to which this node may send orders.
enum class EngineScope {
  kNone,
  // The lease expired while the log was unreachable, and no other claim is
  // known. Safe for engines that refuse old fencing numbers.
  kFencedEnginesOnly,
  kAllEngines,  // The lease is held.
};

// The right of this node to send orders at one point in time.
struct OrderAuthority {
  EngineScope right = EngineScope::kNone;
  FencingNumber fence = 0;
  MonotonicTime acquired_at;  // When this node read its own claim.
  MonotonicTime expires_at;

  auto Tie() const {
    return std::tie(this->right, this->fence, this->acquired_at,
                    this->expires_at);
  }
};

// Reads the lease stream, claims and renews the lease of this node's failure
// domain while this node is a candidate, and publishes board.leases. All
// methods are thread safe.
//
// When the log came back from an older copy, this node gives up its lease,
// reads the stream again, and claims only when a holder whose claim was lost no
// longer holds. Claims name the highest fence that this node knows, from the
// lost records and from the engines of its failure domain, and grant one above
// it.
//
// The holder measures its expiry on its monotonic clock from before it sent the
// record; other nodes measure from the platform's record time and add
// kLeaseClockMarginMs.
class LeaseManager {
 public:
  // Precondition: the pointers outlive the manager; the membership has this
  // node's failure domain set.
  LeaseManager(Clock* clock,
               WorkerPool* pool,
               Board* board,
               LogService* log,
               MetricRegistry* metrics,
               LeaseSettings settings);

  // Precondition: called once.
  void Start();

  // Stops reading and releases a held lease, so that another node can claim it
  // at once. Blocks for at most one call to the log.
  void Stop();

  // Runs one round: reads new records, then claims or renews as needed. Blocks
  // on calls to the log. Used by the periodic task and by tests.
  void RunOnce();

  // True while this node holds the lease of its failure domain at `now`.
  bool HoldsLease(MonotonicTime now) const;

  // Returns the right to send orders at `now`. Call it just before each order.
  OrderAuthority GetOrderAuthority(MonotonicTime now) const;

 private:
  // A record appended by this node that has not been read back yet.
  struct PendingAppend {
    MonotonicTime sent_at;
    Duration duration;
  };

  bool IsCandidate(std::int64_t* rank) const;
  // Reads to the end of the stream, and stops early when the log brings no
  // further records. Logs failures.
  Status ReadNewRecords();
  Status TryReadNewRecords();
  Status FindStartOffset();
  // Forgets the records read, which are not the log's; `last` is its end.
  void ForgetHistory(Offset last);
  void ApplyRecord(const LogRecord& record, MonotonicTime now);
  void ApplyOwnRecord(const LeaseLogEntry& entry,
                      const LogRecord& record,
                      MonotonicTime now);
  // Returns the highest fence in the own failure domain that this node knows.
  // Precondition: `mutex` is held.
  FencingNumber HighestKnownFence() const;
  void ClaimOrRenew(std::int64_t rank);
  bool IsRenewalDue(MonotonicTime now) const;
  bool IsClaimDue(MonotonicTime now, std::int64_t rank) const;
  void Append(LeaseRecord::Kind kind);
  void Publish();

  Clock* const clock;
  Board* const board;
  LogService* const log;
  const LeaseSettings settings;
  Counter& appends;
  Counter& append_failures;
  Gauge& held;

  // Serialises rounds; acquired before `mutex`. Held during calls to the log.
  std::mutex round_mutex;
  bool has_start = false;
  LogPlace place;  // Of the last record read.
  LogLimiter failure_lines;
  LogLimiter malformed_lines;

  // Guards the fields below; leaf in the lock order.
  mutable std::mutex mutex;
  LeaseStateMachine lease_states;
  std::map<FailureDomainId, MonotonicTime> estimated_expiry;
  std::map<AppendId, PendingAppend> pending;
  MonotonicTime last_append_at;
  // Of the lost records; the former holder may hold until the time.
  FencingNumber lost_fence = 0;
  MonotonicTime claim_not_before;
  MonotonicTime held_until;
  MonotonicTime acquired_at;
  bool log_reachable = false;

  std::unique_ptr<PeriodicTask> task;
};

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_MANAGER_H_
