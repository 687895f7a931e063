// The platform's store: topics that keep the newest record of each key.
#ifndef PLATFORM_STORE_CLIENT_H_
#define PLATFORM_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/log_limiter.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "base/token_bucket.h"
#include "net/http_client.h"
#include "platform/topic_batch.h"

namespace kumquatcart {

// Key of the configuration in the operator's topic.
std::string ConfigurationKey();

// The failure domain that a key of the operator's topic orders to be evacuated;
// none if the key means something else.
std::optional<std::string> EvacuatedDomainOf(const std::string& key);

// Reads and writes the store, directly or through another entry VM where the
// store refuses this one. Calls beyond a rate that none of the duties of a VM
// comes near wait, so that no loop of calls takes the store from the other VMs.
// For the event loop's thread.
class StoreClient {
 public:
  StoreClient(EventLoop* loop, TcpEndpoint store);

  // Counts the calls in `metrics`, by kind and result. Precondition: `metrics`
  // outlives the client.
  void SetMetrics(MetricRegistry* registry) { this->metrics = registry; }

  // Lists the entry VMs that pass calls on to the store, asked in turn after a
  // direct call failed. Their order should differ from VM to VM, since the
  // store may refuse many VMs at once.
  using RelayList = std::function<std::vector<TcpEndpoint>()>;
  void SetRelays(RelayList list_relays) {
    this->list_relays = std::move(list_relays);
  }

  // Takes what reads of `topic` return later than their time limit, when they
  // have failed already. The batch may hold known records.
  using TakeLate = std::function<void(const TopicBatch& batch)>;
  void SetTakeLate(StoreTopic topic, TakeLate take_late) {
    this->late_takers[topic] = std::move(take_late);
  }

  // Era of the store's newest answer, or a later one that a peer has reported.
  // A store that states none begins in era 0.
  StoreEra Era() const { return this->era; }

  // When the era changed last, except to the first one known. None: never.
  std::optional<MonotonicTime> EraChangedAt() const {
    return this->era_changed_at;
  }

  // Called after each change of the era except to the first one known. Reads
  // that were sent before have been abandoned by then.
  void SetEraListener(std::function<void()> listener) {
    this->notify_era = std::move(listener);
  }

  // Takes notice of the era that a peer has seen. Ignored unless it is later.
  void NotePeerEra(StoreEra peer_era);

  // Begins the next era if the store states none in its answers: a topic that
  // was read in era `known` has lost records. Returns whether the era is now
  // later than `known`.
  bool NoteLostRecords(StoreEra known);

  // The header fields of the store's answer `reply` that a peer needs whose
  // call was passed on.
  static HeaderList FieldsToPassOn(const HttpResponse& reply);

  // The newest record of every key. Keys whose record cannot be read are listed
  // in `other_keys`. The pages are no snapshot: continue with ReadSince from
  // the result's end. Errors: kUnavailable, kTimeout, kInvalidArgument for an
  // answer that cannot be read.
  Result<TopicBatch> ReadNewest(StoreTopic topic, Coroutine yield);

  // Records from offset `from` on, after waiting up to `wait` for the first.
  // Errors: kExpired where the topic does not hold that offset (read the newest
  // again), and those of ReadNewest. If the result is of another era than
  // `from`, its records are not those that follow.
  Result<TopicBatch> ReadSince(StoreTopic topic,
                               std::int64_t from,
                               Duration wait,
                               Coroutine yield);

  // Appends one record and returns its offset. With `at`, only if the topic
  // ends there. Errors: kConflict (the topic ends elsewhere), kUnavailable (not
  // done), kUnknown (may be done, now or seconds later).
  Result<std::int64_t> Append(StoreTopic topic,
                              const std::string& key,
                              const std::string& value,
                              std::optional<std::int64_t> at,
                              Coroutine yield);

  // Passes a call on to the store unchanged, also for a peer. Takes at most one
  // second, or for a read half a second more than it asks the store to wait.
  HttpResponse PassOn(const OutgoingRequest& request, Coroutine yield);

  // Whether `target` is a call that PassOn takes.
  static bool IsStoreCall(const std::string& target);

  // Whether the store answers: of the direct calls that have ended, the one
  // that was sent last was answered.
  bool IsReachable() const { return this->reachable; }

 private:
  // Handles the body of an answer that came too late for its caller.
  using HandleLate = std::function<void(const std::string& body, StoreEra era)>;
  // A call, and what is sent instead while it is unknown whether the store
  // answers: the same, without waiting for records.
  struct StoreCall {
    OutgoingRequest request;
    OutgoingRequest without_wait;
    HandleLate handle_late = nullptr;  // Null: late answers are dropped.
  };
  // What a call has brought.
  struct StoreReply {
    HttpResponse response;
    bool was_abandoned = false;  // By AbandonReads().
    StoreEra era = 0;
  };
  struct PendingRead;

  // Sends one call. Writes get a connection of their own, so that the answer to
  // an earlier call never counts as that of a write.
  StoreReply Send(const TcpEndpoint& endpoint,
                  const OutgoingRequest& request,
                  const HandleLate& handle_late,
                  Coroutine yield);
  // Waits for the answer to a read until `deadline`. The read goes on for some
  // time after it if `handle_late` is not null.
  StoreReply SendRead(const TcpEndpoint& endpoint,
                      const OutgoingRequest& request,
                      MonotonicTime deadline,
                      const HandleLate& handle_late,
                      Coroutine yield);
  void HandleLateAnswer(const OutgoingRequest& request,
                        PendingRead* read,
                        const HandleLate& handle_late);
  StoreReply Call(const StoreCall& call, Coroutine yield);
  // Waits until the rate of calls allows one more, and counts it.
  void AwaitCallRate(Coroutine yield);
  // Sends a call to the store itself.
  StoreReply CallDirectly(const OutgoingRequest& request,
                          const HandleLate& handle_late,
                          Coroutine yield);
  // None: there is no relay.
  std::optional<StoreReply> CallRelay(const OutgoingRequest& request,
                                      const HandleLate& handle_late,
                                      Coroutine yield);
  // Sets the era of `reply`, which answers a call that was sent in era
  // `sent_in`. An answer of an earlier era, or one that does not state the era
  // as it must, becomes kNoAnswer.
  void CheckEra(StoreEra sent_in, StoreReply* reply);
  // Logs why an answer is dropped.
  void DropAnswer(const std::string& reason, HttpResponse* response);
  void AdoptEra(StoreEra later, const char* source);
  void CountCall(const OutgoingRequest& request,
                 const HttpResponse& response) const;
  void NoteReachability(const StoreReply& reply, MonotonicTime sent_at);
  // Hands what a late answer holds on to those who follow the topic.
  void TakeLateBatch(StoreTopic topic, const Result<TopicBatch>& batch) const;
  // Ends the wait for reads that were sent before `sent_before`, so that they
  // are sent again: their answers are probably lost.
  void AbandonReads(MonotonicTime sent_before);

  EventLoop* const loop;
  const TcpEndpoint store;
  HttpClient client;
  MetricRegistry* metrics = nullptr;  // Null: calls are not counted.
  RelayList list_relays;
  std::map<StoreTopic, TakeLate> late_takers;
  std::set<PendingRead*> awaited_reads;
  int reads_in_progress = 0;  // Those that nobody awaits any more included.
  std::size_t next_relay = 0;
  StoreEra era = 0;
  bool knows_era = false;   // From an answer or a peer.
  bool states_era = false;  // The store does so in its answers.
  std::optional<MonotonicTime> era_changed_at;
  std::function<void()> notify_era;
  LogLimiter dropped_answers;
  TokenBucket call_rate;
  LogLimiter delayed_calls;
  bool reachable = true;
  bool was_silent = false;              // Since the store was reachable.
  MonotonicTime direct_at;              // Last direct call.
  MonotonicTime answered_call_sent_at;  // Of direct calls, the latest one.
};

// Decodes the era that an answer of the store states; none if it states none.
// Errors: kInvalidArgument. Thread safe.
Result<std::optional<StoreEra>> DecodeStoreEra(const HeaderList& headers);

// Decodes the body of a read: the topic's end, its first offset, then records.
// `from` is the offset of the first record. Errors: kInvalidArgument. Thread
// safe.
Result<TopicBatch> DecodeRecords(const std::string& body,
                                 std::int64_t from,
                                 StoreEra era = 0);

// One record as an append sends it. Thread safe.
std::string EncodeRecord(const std::string& key, const std::string& value);

}  // namespace kumquatcart

#endif  // PLATFORM_STORE_CLIENT_H_
