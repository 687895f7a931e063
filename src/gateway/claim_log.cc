#include "gateway/claim_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/json.h"
#include "base/logging.h"
#include "base/progress_pacer.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kReadRecords = 256;
constexpr std::int64_t kRefusedRetryAfterMs = 2000;

// Beyond any record; reading there tells the bounds of the stream.
constexpr Offset kFarOffset = Offset{1} << 60;

// Factor on the batch interval while nothing can be appended.
constexpr int kIdleFactor = 10;

// Age beyond which claims of this VM are not appended again after the log came
// back from an older copy, which is some seconds old.
constexpr Duration kLostClaimAge = std::chrono::minutes(10);

// Minimum time between two log lines of one event.
constexpr Duration kLogInterval = std::chrono::seconds(10);

Error MakeLogAwayError() {
  Error error =
      MakeError(ErrorCode::kUnavailable,
                "the platform's log does not answer, so that a request with an "
                "Idempotency-Key cannot be claimed");
  error.retry_after_ms = kRefusedRetryAfterMs;
  return error;
}

ClaimVerdict VerdictFromStatus(const ClaimStatus& status) {
  ClaimVerdict verdict;
  const bool completed =
      status.settled && status.outcome == RequestOutcome::kCompleted;
  verdict.state = completed ? ClaimState::kCompleted : ClaimState::kUnknown;
  verdict.answer = status.answer;
  return verdict;
}

}  // namespace

SettingGroup DescribeSettings(ClaimSettings* settings) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  SettingGroup group;
  group.title = "Idempotency keys";
  group.settings = {
      DurationSetting("idempotency-window-ms",
                      "How long a key is remembered; must be shorter than the "
                      "retention of the platform's log.",
                      &settings->window, milliseconds(1000), hours(24 * 30)),
      DurationSetting("claim-batch-interval-ms",
                      "Least time between two appends of claims.",
                      &settings->batch_interval, milliseconds(1),
                      milliseconds(1000)),
      DurationSetting("claim-append-patience-ms",
                      "How long a claim is tried before its request is "
                      "refused.",
                      &settings->append_patience, milliseconds(10),
                      milliseconds(60000)),
  };
  return group;
}

ClaimLog::ClaimLog(Clock* clock,
                   LogService* log,
                   MetricRegistry* metrics,
                   ClaimSettings settings)
    : clock(clock),
      log(log),
      settings(settings),
      appends(metrics->GetCounter("kumquatcart_gateway_claim_appends_total")),
      refusals(metrics->GetCounter("kumquatcart_gateway_claim_refusals_total")),
      replays(metrics->GetCounter("kumquatcart_gateway_claim_replays_total")),
      table(settings.window),
      read_failure_lines(kLogInterval),
      append_failure_lines(kLogInterval) {}

ClaimLog::~ClaimLog() {
  this->Stop();
}

void ClaimLog::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ClaimLog::Stop() {
  std::vector<Waiting> left;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    left.swap(this->waiting);
  }
  for (const Waiting& waiting : left) {
    waiting.decide(MakeLogAwayError());
  }
}

void ClaimLog::Claim(const ClaimKey& key,
                     const std::string& digest,
                     Duration patience,
                     Decision decide) {
  Waiting claim;
  claim.key = key;
  claim.claim = MakeId<AttemptId>();
  claim.digest = digest;
  claim.asked_at = this->clock->Now();
  claim.give_up_at = claim.asked_at + patience;
  claim.decide = std::move(decide);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->waiting.push_back(std::move(claim));
  }
  this->changed.notify_all();
}

void ClaimLog::Settle(const ClaimKey& key, const ClaimSettlement& settlement) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->owned.find(key);
    if (found == this->owned.end()) {
      return;
    }
    ClaimEntry entry;
    entry.kind = ClaimEntry::Kind::kSettle;
    entry.key = key;
    entry.claim = found->second;
    entry.outcome = settlement.outcome;
    entry.answer = settlement.answer;
    this->gathered.push_back(std::move(entry));
    this->owned.erase(found);
  }
  this->changed.notify_all();
}

void ClaimLog::Run() {
  // A fresh entry VM learns what was claimed before the first caller waits.
  this->CatchUp();
  ProgressPacer pacer(this->settings.batch_interval,
                      this->settings.batch_interval * kIdleFactor);
  while (true) {
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      this->changed.wait(lock,
                         [this] { return this->stopping || this->HasWork(); });
      if (this->stopping && this->gathered.empty()) {
        return;
      }
    }
    const bool advanced = this->RunOnce();
    bool stop = false;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      stop = this->stopping;
    }
    if (stop) {
      return;
    }
    this->clock->SleepFor(
        std::max(this->settings.batch_interval, pacer.NextPause(advanced)));
  }
}

bool ClaimLog::HasWork() const {
  return !this->waiting.empty() || !this->gathered.empty();
}

bool ClaimLog::RunOnce() {
  // What is known already needs no append.
  bool log_answers = this->CatchUp();
  std::vector<Decided> decided = this->DecideAll(log_answers);
  const AppendOutcome appended =
      log_answers ? this->AppendGathered() : AppendOutcome::kNotAppended;
  bool advanced = appended == AppendOutcome::kAppended;
  if (appended != AppendOutcome::kNotAppended) {
    log_answers = this->CatchUp();
    std::vector<Decided> more = this->DecideAll(log_answers);
    advanced = advanced ||
               std::any_of(more.begin(), more.end(), [](const Decided& entry) {
                 return entry.verdict.has_value();
               });
    std::move(more.begin(), more.end(), std::back_inserter(decided));
  }
  for (const Decided& entry : decided) {
    entry.decide(entry.verdict);
  }
  return advanced;
}

bool ClaimLog::CatchUp() {
  const Status read = this->TryCatchUp();
  if (read.has_error()) {
    if (const auto suppressed =
            this->read_failure_lines.Pass(this->clock->Now())) {
      LogWarning("claim_log_read_failed", {{"reason", read.error().message},
                                           {"offset", this->place.offset},
                                           {"suppressed", *suppressed}});
    }
  }
  return read.has_value();
}

Status ClaimLog::TryCatchUp() {
  bool has_skipped = false;
  bool has_begun_replay = false;
  while (true) {
    // An answer that repeats the last record is of the history that was read.
    const Offset from = this->place.offset + (this->place.IsKnown() ? 0 : 1);
    const Result<LogBatch> batch =
        this->log->Read(kClaimStream, from, kReadRecords, Duration::zero());
    if (batch.has_error() && batch.error().code == ErrorCode::kExpired) {
      if (this->place.IsKnown()) {
        // The last record is past retention; the next one may not be.
        const Offset last_read = this->place.offset;
        this->place = LogPlace();
        this->place.offset = last_read;
        continue;
      }
      if (!has_skipped) {
        has_skipped = true;
        BOOST_OUTCOME_TRYV(this->SkipExpired());
        continue;
      }
    }
    BOOST_OUTCOME_TRYV(batch);
    const std::vector<LogRecord>& records = batch.value().records;
    const Offset last = batch.value().last;
    const bool is_other_record = !records.empty() &&
                                 records.front().offset == this->place.offset &&
                                 !this->place.Names(records.front());
    if ((last < this->place.offset || is_other_record) && !has_begun_replay) {
      has_begun_replay = true;
      has_skipped = false;
      this->BeginReplay(last);
      continue;
    }
    const Offset before = this->place.offset;
    BOOST_OUTCOME_TRYV(this->Apply(records));
    if (last >= before && this->place.offset >= last) {
      this->EndReplay();
      return Ok();
    }
    if (this->place.offset == before) {
      return MakeError(ErrorCode::kUnavailable,
                       "the log returned none of the records up to its end");
    }
  }
}

Status ClaimLog::SkipExpired() {
  // Claims past retention are past the window as well.
  BOOST_OUTCOME_TRY(
      end, this->log->Read(kClaimStream, kFarOffset, 1, Duration::zero()));
  this->place = LogPlace();
  this->place.offset = end.first_retained - 1;
  return Ok();
}

void ClaimLog::BeginReplay(Offset last) {
  LogWarning("claim_records_lost",
             {{"log_last", last}, {"offset", this->place.offset}});
  this->place = LogPlace();
  this->replayed.emplace(this->settings.window);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (Waiting& waiting : this->waiting) {
    // Its record may be among those that were lost; the first one counts.
    waiting.appended = false;
  }
}

void ClaimLog::EndReplay() {
  if (!this->replayed.has_value()) {
    return;
  }
  std::vector<ClaimEntry> lost = this->table.EntriesMissingIn(*this->replayed);
  this->replayed.reset();
  // Others append what is theirs.
  lost.erase(std::remove_if(lost.begin(), lost.end(),
                            [this](const ClaimEntry& entry) {
                              return this->appended_at.count(entry.claim) == 0;
                            }),
             lost.end());
  const std::lock_guard<std::mutex> lock(this->mutex);
  // A settlement that waits already belongs after its claim.
  this->gathered.insert(this->gathered.begin(),
                        std::make_move_iterator(lost.begin()),
                        std::make_move_iterator(lost.end()));
}

Status ClaimLog::Apply(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    if (record.offset == this->place.offset && this->place.Names(record)) {
      continue;
    }
    if (record.offset <= this->place.offset) {
      return MakeError(ErrorCode::kUnavailable,
                       "the log returned a record from before the offset that "
                       "was read");
    }
    const Result<ClaimRecord> claims = DecodeJson<ClaimRecord>(record.payload);
    if (claims.has_value()) {
      this->table.Apply(claims.value(), record.time_unix_ms);
      if (this->replayed.has_value()) {
        this->replayed->Apply(claims.value(), record.time_unix_ms);
      }
    } else {
      LogError("claim_record_malformed", {{"offset", record.offset}});
    }
    this->place = this->place.Next(record);
  }
  return Ok();
}

void ClaimLog::NoteAppended(const AttemptId& claim) {
  const MonotonicTime now = this->clock->Now();
  while (!this->appended_order.empty()) {
    const auto oldest = this->appended_at.find(this->appended_order.front());
    if (oldest != this->appended_at.end() &&
        now - oldest->second < kLostClaimAge) {
      break;
    }
    this->appended_at.erase(this->appended_order.front());
    this->appended_order.pop_front();
  }
  if (this->appended_at.emplace(claim, now).second) {
    this->appended_order.push_back(claim);
  }
}

ClaimLog::AppendOutcome ClaimLog::AppendGathered() {
  ClaimRecord record;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Waiting& waiting : this->waiting) {
      if (waiting.appended || this->table.Find(waiting.key) != nullptr) {
        continue;
      }
      ClaimEntry entry;
      entry.key = waiting.key;
      entry.claim = waiting.claim;
      entry.digest = waiting.digest;
      record.entries.push_back(std::move(entry));
      waiting.appended = true;
      waiting.tried = true;
      this->NoteAppended(waiting.claim);
    }
    std::move(this->gathered.begin(), this->gathered.end(),
              std::back_inserter(record.entries));
    this->gathered.clear();
  }
  if (record.entries.empty()) {
    return AppendOutcome::kNotAppended;
  }
  const Result<Offset> appended =
      this->log->Append(kClaimStream, MakeId<AppendId>(), Json(record).dump());
  if (appended.has_value()) {
    this->appends.Add();
    return AppendOutcome::kAppended;
  }
  if (const auto suppressed =
          this->append_failure_lines.Pass(this->clock->Now())) {
    LogWarning("claim_append_failed", {{"reason", appended.error().message},
                                       {"suppressed", *suppressed}});
  }
  // An append whose answer was lost is settled by reading: its claims, named by
  // their own ids, are found there or not. Entries may stand twice; the first
  // one counts.
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<ClaimEntry> kept;
  for (ClaimEntry& entry : record.entries) {
    const auto waiting = std::find_if(
        this->waiting.begin(), this->waiting.end(),
        [&entry](const Waiting& each) { return each.claim == entry.claim; });
    if (entry.kind == ClaimEntry::Kind::kClaim &&
        waiting != this->waiting.end()) {
      waiting->appended = false;
    } else {
      kept.push_back(std::move(entry));
    }
  }
  this->gathered.insert(this->gathered.begin(),
                        std::make_move_iterator(kept.begin()),
                        std::make_move_iterator(kept.end()));
  return appended.error().code == ErrorCode::kUnknown
             ? AppendOutcome::kUnknown
             : AppendOutcome::kNotAppended;
}

std::vector<ClaimLog::Decided> ClaimLog::DecideAll(bool log_answers) {
  const MonotonicTime now = this->clock->Now();
  std::vector<Decided> decided;
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto left = std::remove_if(
      this->waiting.begin(), this->waiting.end(), [&](const Waiting& waiting) {
        return this->Decide(waiting, log_answers, now, &decided);
      });
  this->waiting.erase(left, this->waiting.end());
  return decided;
}

bool ClaimLog::Decide(const Waiting& waiting,
                      bool log_answers,
                      MonotonicTime now,
                      std::vector<Decided>* decided) {
  const ClaimStatus* const status = this->table.Find(waiting.key);
  if (status == nullptr) {
    const bool out_of_patience =
        now - waiting.asked_at >= this->settings.append_patience;
    if (log_answers && !out_of_patience) {
      return false;
    }
    this->refusals.Add();
    if (waiting.tried) {
      // It may still turn up in the log; nobody will run it.
      ClaimEntry release;
      release.kind = ClaimEntry::Kind::kSettle;
      release.key = waiting.key;
      release.claim = waiting.claim;
      release.outcome = RequestOutcome::kNotRun;
      this->gathered.push_back(std::move(release));
    }
    decided->push_back({waiting.decide, MakeLogAwayError()});
    return true;
  }
  if (status->claim == waiting.claim) {
    this->owned[waiting.key] = waiting.claim;
    decided->push_back({waiting.decide, ClaimVerdict{ClaimState::kOwned, {}}});
    return true;
  }
  if (status->digest != waiting.digest) {
    decided->push_back(
        {waiting.decide, ClaimVerdict{ClaimState::kMismatch, {}}});
    return true;
  }
  if (!status->settled && log_answers && now < waiting.give_up_at) {
    return false;
  }
  this->replays.Add();
  decided->push_back({waiting.decide, VerdictFromStatus(*status)});
  return true;
}

}  // namespace kumquatcart
