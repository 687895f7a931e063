#include "control/topic_follower.h"

#include <algorithm>

#include "base/logging.h"
#include "net/failure_boundary.h"

namespace kumquatcart {

namespace {

// Interval at which a process that does not read the store checks whether it
// has to. Each process does so for four topics.
constexpr Duration kRoleCheckInterval = std::chrono::milliseconds(250);
// Pause after a failed read, and after one that has shown that the store does
// not accept calls of this VM.
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
constexpr Duration kUnreachableRetryPause = std::chrono::milliseconds(500);
// Wait of a read of records that are known to exist. It only extends the
// deadline of the transfer.
constexpr Duration kMissingReadWait = std::chrono::seconds(1);
// Interval at which an unreachable store is tried for missing records; peers
// are asked in the meantime.
constexpr Duration kUnreachableReadInterval = std::chrono::seconds(3);
// Time for the peers of the own failure domain to return records before others
// are asked: traffic between failure domains is costly.
constexpr Duration kFarPeerDelay = std::chrono::milliseconds(300);
// Time for peers to return records before the store is asked. Peers reject
// requests when many arrive at once, and all of these would meet at the store.
constexpr Duration kStoreDelay = std::chrono::milliseconds(600);
// Time after the start in which a process that does not read the store expects
// its first records from peers, and the same once a peer has reported records.
// After a loss of many VMs all start at the same time, and the store serves
// their reads one after the other.
constexpr Duration kFirstPeerDelay = std::chrono::milliseconds(1000);
constexpr Duration kFirstFetchDelay = std::chrono::milliseconds(2500);
// Interval at which such a process checks whether it has received them.
constexpr Duration kFirstRecordsPollInterval = std::chrono::milliseconds(50);
// Pauses between reads that bring nothing, although they were not waited for.
constexpr Duration kShortestIdlePause = std::chrono::milliseconds(100);
constexpr Duration kLongestIdlePause = std::chrono::seconds(1);
// Shortest time between log lines on records that the store does not have.
constexpr Duration kExpiredLogInterval = std::chrono::seconds(1);
// Time for the pending read to return records that a peer has seen already.
constexpr Duration kPendingReadGrace = std::chrono::milliseconds(150);

}  // namespace

TopicFollower::TopicFollower(EventLoop* loop,
                             StoreClient* store,
                             FollowerSettings settings,
                             const PlannerRole* role,
                             FetchFromPeer fetch,
                             Apply apply,
                             ContentRules rules)
    : loop(loop),
      store(store),
      settings(settings),
      role(role),
      fetch(std::move(fetch)),
      replica(std::move(apply), std::move(rules)),
      reads(kShortestIdlePause, kLongestIdlePause),
      missing_reads(kShortestIdlePause, kLongestIdlePause),
      expired_log(kExpiredLogInterval) {}

void TopicFollower::Start() {
  this->started_at = this->loop->Now();
  this->store->SetTakeLate(
      this->settings.topic,
      [this](const TopicBatch& batch) { this->TakeLate(batch); });
  this->loop->Spawn([this](Coroutine yield) {
    for (bool was_reader = false;;) {
      const bool is_reader = this->ReadsStore();
      if (is_reader != was_reader) {
        was_reader = is_reader;
        LogInfo("topic_reader", {{"topic", ToString(this->settings.topic)},
                                 {"reads", is_reader ? 1 : 0}});
      }
      if (this->synced && !is_reader) {
        this->loop->Sleep(kRoleCheckInterval, yield);
        continue;
      }
      if (this->ExpectsFirstRecords(is_reader)) {
        this->loop->Sleep(kFirstRecordsPollInterval, yield);
        continue;
      }
      const TopicPosition before = this->Position();
      const MonotonicTime started = this->loop->Now();
      const bool read = this->NeedsNewest()
                            ? this->ReadNewest(yield)
                            : this->ReadMore(this->settings.read_wait, yield);
      const bool advanced = this->Position() != before;
      // An answer is no progress: without new records, only one that was waited
      // for costs no call too many.
      const bool waited =
          this->loop->Now() - started >= this->settings.read_wait / 2;
      const Duration idle_pause =
          this->reads.NextPause(!read || advanced || waited);
      if (!read) {
        this->loop->Sleep(
            this->store->IsReachable() ? kRetryPause : kUnreachableRetryPause,
            yield);
      } else if (advanced) {
        this->loop->Sleep(this->role->ReadsStore(1)
                              ? this->settings.batch_pause
                              : this->settings.standby_pause,
                          yield);
      } else if (idle_pause > Duration{0}) {
        this->loop->Sleep(idle_pause, yield);
      }
    }
  });
}

bool TopicFollower::NeedsNewest() const {
  return !this->synced || this->records_expired || !this->IsCurrent();
}

bool TopicFollower::ReadsStore() const {
  return this->role->ReadsStore(this->settings.readers);
}

bool TopicFollower::ExpectsFirstRecords(bool is_reader) const {
  const MonotonicTime now = this->loop->Now();
  return !this->synced && !is_reader &&
         (this->behind_since == MonotonicTime{}
              ? now - this->started_at < kFirstPeerDelay
              : now - this->behind_since < kFirstFetchDelay);
}

void TopicFollower::SetSynced(const char* source) {
  if (!this->synced) {
    this->synced = true;
    LogInfo("topic_synced", {{"topic", ToString(this->settings.topic)},
                             {"end", this->End()},
                             {"source", source}});
  }
}

void TopicFollower::TakeLate(const TopicBatch& batch) {
  if (batch.Position() < this->Position()) {
    return;
  }
  this->Merge(batch);
  if (batch.other_keys) {
    this->records_expired = false;
    this->SetSynced("store");
  }
}

bool TopicFollower::ReadNewest(Coroutine yield) {
  const TopicPosition known = this->Position();
  Result<TopicBatch> batch = this->TryRead(
      [&] { return this->store->ReadNewest(this->settings.topic, yield); });
  if (batch.has_error()) {
    LogWarning("topic_read_failed", {{"topic", ToString(this->settings.topic)},
                                     {"reason", batch.error().message}});
    return false;
  }
  if (batch.value().Position() < known && batch.value().era == known.era) {
    if (const auto suppressed = this->expired_log.Pass(this->loop->Now())) {
      LogWarning("topic_ends_early", {{"topic", ToString(this->settings.topic)},
                                      {"era", known.era},
                                      {"end", known.offset},
                                      {"store_end", batch.value().end},
                                      {"suppressed", *suppressed}});
    }
    if (!this->store->NoteLostRecords(known.era)) {
      return true;  // An answer that cannot be; the next one is awaited.
    }
    batch.value().era = this->store->Era();
  }
  this->Merge(batch.value());
  this->records_expired = false;
  this->SetSynced("store");
  return true;
}

Result<TopicBatch> TopicFollower::TryRead(
    const std::function<Result<TopicBatch>()>& read) {
  Result<TopicBatch> batch =
      MakeError(ErrorCode::kUnavailable, "the response cannot be handled");
  ContainFailure(this->loop, "topic_read", [&] { batch = read(); });
  return batch;
}

void TopicFollower::Merge(const TopicBatch& batch) {
  const LoopStep step(this->loop->Monitor(), "apply_records",
                      ToString(this->settings.topic));
  const TopicPosition before = this->Position();
  this->last_read_at = this->loop->Now();
  this->replica.Merge(batch);
  if (this->Position().era != before.era) {
    this->records_expired = false;
    LogInfo("topic_read_anew", {{"topic", ToString(this->settings.topic)},
                                {"from_era", before.era},
                                {"from_end", before.offset},
                                {"era", this->Position().era},
                                {"end", this->End()},
                                {"records", batch.records.size()},
                                {"retained", this->Retained().size()}});
  }
  if (this->Position() > before) {
    this->behind_since = MonotonicTime{};
  }
}

bool TopicFollower::ReadMore(Duration wait, Coroutine yield) {
  const MonotonicTime started = this->loop->Now();
  const TopicPosition from = this->Position();
  const Result<TopicBatch> batch = this->TryRead([&] {
    return this->store->ReadSince(this->settings.topic, this->End(), wait,
                                  yield);
  });
  if (batch.has_error()) {
    if (batch.error().code == ErrorCode::kExpired) {
      LogInfo("topic_records_expired",
              {{"topic", ToString(this->settings.topic)},
               {"from", this->End()},
               {"reason", batch.error().message}});
      this->records_expired = true;
      return true;
    }
    LogWarning("topic_read_failed",
               {{"topic", ToString(this->settings.topic)},
                {"end", this->End()},
                {"ms", ToMillis(this->loop->Now() - started)},
                {"reason", batch.error().message}});
    return false;
  }
  // Records of a later era are not those that follow `from`.
  if (batch.value().era == from.era) {
    this->Merge(batch.value());
  }
  return true;
}

bool TopicFollower::MayFetch(bool is_near) const {
  const MonotonicTime now = this->loop->Now();
  return now >= this->next_fetch_at &&
         (is_near || now - this->behind_since >= kFarPeerDelay ||
          !this->role->HasReaderNearby());
}

void TopicFollower::HandlePeerEnd(const TcpEndpoint& peer,
                                  TopicPosition peer_end,
                                  bool is_near) {
  if (peer_end <= this->Position() || this->catching_up ||
      this->started_at == MonotonicTime{} ||
      (!this->synced && this->ReadsStore())) {
    return;
  }
  if (this->behind_since == MonotonicTime{}) {
    this->behind_since = this->loop->Now();
  }
  if (!this->ReadsStore() && !this->MayFetch(is_near)) {
    return;
  }
  this->catching_up = true;
  this->loop->Spawn([this, peer, peer_end](Coroutine yield) {
    if (this->ReadsStore()) {
      this->loop->Sleep(kPendingReadGrace, yield);
    }
    if (this->Position() < peer_end &&
        !this->FetchMore(peer, peer_end, yield) && this->synced) {
      this->ReadMissing(yield);
    }
    this->catching_up = false;
  });
}

bool TopicFollower::FetchMore(const TcpEndpoint& peer,
                              TopicPosition peer_end,
                              Coroutine yield) {
  const MonotonicTime started = this->loop->Now();
  const TopicPosition from = this->Position();
  const Result<TopicBatch> batch =
      this->TryRead([&] { return this->fetch(peer, from, yield); });
  const auto elapsed_ms = ToMillis(this->loop->Now() - started);
  const std::string address = peer.address().to_string();
  this->next_fetch_at = this->loop->Now() + this->settings.batch_pause;
  if (batch.has_value()) {
    this->Merge(batch.value());
  }
  if (batch.has_error() || this->Position() < peer_end) {
    if (this->behind_since == MonotonicTime{}) {
      this->behind_since = this->loop->Now();  // Some of the records came.
    }
    const Error error =
        batch.has_error()
            ? batch.error()
            : MakeError(ErrorCode::kExhausted, "the peer lacks the records");
    LogWarning("topic_behind_peers", {{"topic", ToString(this->settings.topic)},
                                      {"era", from.era},
                                      {"end", this->End()},
                                      {"peer_era", peer_end.era},
                                      {"peer_end", peer_end.offset},
                                      {"peer", address},
                                      {"ms", elapsed_ms},
                                      {"reason", error.message}});
    // Another peer is asked first, unless this one is unreachable, which may be
    // the fault of this VM's link.
    return error.code == ErrorCode::kExhausted &&
           this->loop->Now() - this->behind_since < kStoreDelay;
  }
  this->SetSynced("peer");
  const auto removals =
      std::count_if(batch.value().records.begin(), batch.value().records.end(),
                    [](const TopicRecord& record) { return !record.value; });
  LogInfo("topic_fetched", {{"topic", ToString(this->settings.topic)},
                            {"from", from.offset},
                            {"end", this->End()},
                            {"records", batch.value().records.size()},
                            {"removals", removals},
                            {"lists_keys", batch.value().other_keys ? 1 : 0},
                            {"peer", address},
                            {"ms", elapsed_ms}});
  return true;
}

void TopicFollower::HandlePeerRetained(const TcpEndpoint& peer,
                                       StoreEra peer_era) {
  if (this->retained_era != peer_era) {
    this->retained_era = peer_era;
    this->retained_peers.clear();
  }
  if (this->Position().era != peer_era || this->catching_up || !this->synced ||
      this->loop->Now() < this->next_retained_at ||
      this->retained_peers.size() == kRetainedRequests ||
      !this->retained_peers.insert(peer).second) {
    return;
  }
  this->catching_up = true;
  this->fetches_retained = true;
  this->loop->Spawn([this, peer](Coroutine yield) {
    const Result<TopicBatch> batch =
        this->TryRead([&] { return this->fetch(peer, kRetainedOnly, yield); });
    this->catching_up = false;
    this->fetches_retained = false;
    if (batch.has_error()) {
      this->retained_peers.erase(peer);
      this->next_retained_at = this->loop->Now() + kRetryPause;
      LogWarning("retained_records_failed",
                 {{"topic", ToString(this->settings.topic)},
                  {"peer", peer.address().to_string()},
                  {"reason", batch.error().message}});
      return;
    }
    this->Merge(batch.value());
    LogInfo("retained_records_fetched",
            {{"topic", ToString(this->settings.topic)},
             {"peer", peer.address().to_string()},
             {"records", batch.value().retained.size()}});
  });
}

void TopicFollower::ReadMissing(Coroutine yield) {
  const MonotonicTime now = this->loop->Now();
  if (now - this->missing_read_at <
      std::max(this->missing_read_pause, this->store->IsReachable()
                                             ? Duration{0}
                                             : kUnreachableReadInterval)) {
    return;
  }
  this->missing_read_at = now;
  const TopicPosition from = this->Position();
  const bool read = this->CatchUp(kMissingReadWait, yield);
  this->missing_read_pause =
      this->missing_reads.NextPause(this->Position() != from);
  if (read) {
    LogInfo("topic_fetched", {{"topic", ToString(this->settings.topic)},
                              {"from", from.offset},
                              {"end", this->End()},
                              {"peer", "store"},
                              {"ms", ToMillis(this->loop->Now() - now)}});
  }
}

bool TopicFollower::CatchUp(Coroutine yield) {
  return this->CatchUp(Duration{0}, yield);
}

bool TopicFollower::CatchUp(Duration wait, Coroutine yield) {
  if (!this->NeedsNewest() && !this->ReadMore(wait, yield)) {
    return false;
  }
  return !this->NeedsNewest() || this->ReadNewest(yield);
}

}  // namespace kumquatcart
