// Claims and renews the lease of this node's failure domain.
#ifndef CONTROL_LEASE_KEEPER_H_
#define CONTROL_LEASE_KEEPER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "base/periodic_task.h"
#include "base/setting.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "control/lease_rules.h"
#include "platform/log_service.h"

namespace kumquatcart {

struct LeaseSettings {
  Duration duration = std::chrono::seconds(4);
  Duration renew_interval = std::chrono::seconds(1);
  Duration poll_interval = std::chrono::milliseconds(500);
  // Extra wait of each further candidate before it claims a free lease.
  Duration claim_stagger = std::chrono::milliseconds(500);
  // Alive members of a failure domain that follow the lease stream.
  std::int64_t candidates = 3;
};
SettingGroup DescribeSettings(LeaseSettings* settings);

// Which orders this node may give.
enum class OrderRight {
  kNone,
  // The lease ran out while the log could not be reached, and no other claim is
  // known. Engines that refuse old fencing numbers still guard themselves.
  kFencedEnginesOnly,
  kEveryEngine,  // The lease is held.
};

// The right to give orders at one moment.
struct LeaseStanding {
  OrderRight right = OrderRight::kNone;
  FencingNumber fence = 0;
  MonotonicTime acquired_at;  // When this node learnt that it holds the lease.
  MonotonicTime expires_at;

  auto Tie() const {
    return std::tie(this->right, this->fence, this->acquired_at,
                    this->expires_at);
  }
};

// Follows the lease stream, keeps the lease of this node's failure domain when
// this node is a candidate, and publishes board.leases. All methods are thread
// safe.
//
// The holder counts its expiry on its monotonic clock from before it sent the
// record; other nodes count from the platform's record time and add
// kLeaseClockMarginMs.
class LeaseKeeper {
 public:
  // Precondition: the pointers outlive the keeper; the membership has this
  // node's failure domain set.
  LeaseKeeper(Clock* clock,
              WorkerPool* pool,
              Board* board,
              LogService* log,
              MetricRegistry* metrics,
              LeaseSettings settings);

  // Precondition: called once.
  void Start();

  // Stops following; a held lease is released so that another node can claim at
  // once. Blocks for at most one call to the log.
  void Stop();

  // One round: reads new records, then claims or renews as needed. Blocks on
  // the log; for Start and for tests.
  void RunOnce();

  // True while this node holds the lease of its failure domain at `now`.
  bool HoldsLease(MonotonicTime now) const;

  // The right to give orders at `now`. To be asked just before each order.
  LeaseStanding Standing(MonotonicTime now) const;

 private:
  // A record of this node whose effect is not known yet.
  struct PendingAppend {
    MonotonicTime sent_at;
    Duration duration;
  };

  bool IsCandidate(std::int64_t* rank) const;
  Status ReadNewRecords();
  Status FindStartOffset();
  void ApplyRecord(const LogRecord& record, MonotonicTime now);
  void ApplyOwnRecord(const LeaseLogEntry& entry,
                      const LogRecord& record,
                      MonotonicTime now);
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

  // Serialises rounds; before `mutex` in the lock order. Held across calls to
  // the log.
  std::mutex round_mutex;
  Offset next_offset = kNoOffset;

  // Guards the fields below; leaf in the lock order.
  mutable std::mutex mutex;
  LeaseStateMachine lease_states;
  std::map<FailureDomainId, MonotonicTime> estimated_expiry;
  std::map<AppendId, PendingAppend> pending;
  MonotonicTime last_append_at;
  MonotonicTime held_until;
  MonotonicTime acquired_at;
  bool log_reachable = false;

  std::unique_ptr<PeriodicTask> task;
};

}  // namespace kumquatcart

#endif  // CONTROL_LEASE_KEEPER_H_
