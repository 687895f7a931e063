// Idempotency keys agreed on through the platform's log.
#ifndef GATEWAY_CLAIM_LOG_H_
#define GATEWAY_CLAIM_LOG_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/log_limiter.h"
#include "base/metrics.h"
#include "base/setting.h"
#include "gateway/claim_record.h"
#include "gateway/idempotency_store.h"
#include "model/log_place.h"
#include "platform/log_service.h"

namespace kumquatcart {

struct ClaimSettings {
  // How long a key is remembered; must be shorter than the log's retention.
  Duration window = std::chrono::hours(24);
  // Least time between two appends, in which claims gather.
  Duration batch_interval = std::chrono::milliseconds(50);
  // A claim that cannot be appended within this time is refused.
  Duration append_patience = std::chrono::seconds(2);
};

SettingGroup DescribeSettings(ClaimSettings* settings);

// Claims keys by records of the claim stream: many claims in one append, the
// first offset of a key wins. When the log came back from an older copy, its
// records are read again, claims that it lost are kept, and those of this VM
// are appended again. Refuses claims, as not run, while the log does not
// answer. Thread safe; `mutex` is a leaf in the lock order and decisions are
// called without it.
class ClaimLog : public IdempotencyStore {
 public:
  // Preconditions: `clock`, `log` and `metrics` outlive the claim log.
  ClaimLog(Clock* clock,
           LogService* log,
           MetricRegistry* metrics,
           ClaimSettings settings);
  // Stops; claims that still wait are refused.
  ~ClaimLog() override;

  // Starts the thread that appends and reads.
  void Start();
  void Stop();

  void Claim(const ClaimKey& key,
             const std::string& digest,
             Duration patience,
             Decision decide) override;
  void Settle(const ClaimKey& key, const ClaimSettlement& settlement) override;

  // One round of the thread: appends what gathered, reads what is new, decides.
  // Returns whether it advanced: an append was acknowledged, or claims were
  // decided by what was read after one. For tests; not to be called while the
  // thread runs.
  bool RunOnce();

 private:
  // A claim that has not been decided.
  struct Waiting {
    ClaimKey key;
    AttemptId claim;
    std::string digest;
    MonotonicTime asked_at;
    MonotonicTime give_up_at;  // On another run's end.
    Decision decide;
    bool appended = false;
    bool tried = false;  // An append was begun, with whatever result.
  };

  struct Decided {
    Decision decide;
    Result<ClaimVerdict> verdict;
  };

  enum class AppendOutcome {
    kNotAppended,  // Nothing was to be appended, or the log refused it.
    kUnknown,
    kAppended,
  };

  void Run();
  // Reads to the end of the stream. Returns false, and logs the reason, if the
  // log does not answer or does not give its records.
  bool CatchUp();
  Status TryCatchUp();
  // Continues at the first record that the log still has.
  Status SkipExpired();
  // Begins to read from the first record again: the log does not have the last
  // one that was read.
  void BeginReplay(Offset last);
  // Gathers the claims of this VM that the log has lost.
  void EndReplay();
  // Applies the records and moves `place` on. Records that do not follow it are
  // an error.
  Status Apply(const std::vector<LogRecord>& records);
  // Keeps in mind that this VM appended `claim`.
  void NoteAppended(const AttemptId& claim);
  AppendOutcome AppendGathered();
  std::vector<Decided> DecideAll(bool log_answers);
  bool Decide(const Waiting& waiting,
              bool log_answers,
              MonotonicTime now,
              std::vector<Decided>* decided);
  bool HasWork() const;

  Clock* clock;
  LogService* log;
  const ClaimSettings settings;
  Counter& appends;
  Counter& refusals;
  Counter& replays;

  // Touched by the thread only.
  ClaimTable table;
  LogPlace place;  // Of the last record read.
  // While the stream is read again: the claims that it has.
  std::optional<ClaimTable> replayed;
  // Claims that this VM appended lately.
  std::map<AttemptId, MonotonicTime> appended_at;
  std::deque<AttemptId> appended_order;
  LogLimiter read_failure_lines;
  LogLimiter append_failure_lines;

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Waiting> waiting;
  std::vector<ClaimEntry> gathered;
  std::map<ClaimKey, AttemptId> owned;
  bool stopping = false;
  std::thread thread;
};

}  // namespace kumquatcart

#endif  // GATEWAY_CLAIM_LOG_H_
