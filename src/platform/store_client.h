// The platform's store: topics that keep the newest record of each key.
#ifndef PLATFORM_STORE_CLIENT_H_
#define PLATFORM_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/metrics.h"
#include "base/outcome.h"
#include "net/http_client.h"

namespace kumquatcart {

// The topics that the system uses.
enum class StoreTopic {
  kOperator,  // The operator's configuration; read only.
  kServers,   // Backend servers register there; read only.
  kGroups,    // Records of replica groups.
  kNodes,     // Entry VMs announce their peer addresses.
};
inline constexpr int kStoreTopicCount = 4;

// Lower-case name for logs. Thread safe.
const char* ToString(StoreTopic topic);

struct TopicRecord {
  std::string key;
  std::optional<std::string> value;  // None: the key was dropped.
  std::int64_t offset = 0;

  auto Tie() const { return std::tie(this->key, this->value, this->offset); }
};

// Records in order of their offsets, and the offset that comes next.
struct TopicBatch {
  std::vector<TopicRecord> records;
  std::int64_t end = 0;
  // Set if removals may be missing in `records`: the keys that exist without a
  // record in the batch. Keys in neither do not exist.
  std::optional<std::vector<std::string>> other_keys = std::nullopt;

  auto Tie() const {
    return std::tie(this->records, this->end, this->other_keys);
  }
};

// Key of the configuration in the operator's topic.
std::string ConfigurationKey();

// Reads and writes the store, directly or through another entry VM where the
// store refuses this one. For the event loop's thread.
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

  // The newest record of every key. Keys whose record cannot be read are listed
  // in `other_keys`. The pages are no snapshot: continue with ReadSince from
  // the result's end. Errors: kUnavailable, kTimeout, kInvalidArgument for an
  // answer that cannot be read.
  Result<TopicBatch> ReadNewest(StoreTopic topic, Coroutine yield);

  // Records from offset `from` on, after waiting up to `wait` for the first.
  // Errors: kExpired where records were dropped (read the newest again), and
  // those of ReadNewest.
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
  using HandleLate = std::function<void(const std::string& body)>;
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
                        const PendingRead& read,
                        const HandleLate& handle_late);
  HttpResponse Call(const StoreCall& call, Coroutine yield);
  // Sends a call to the store itself.
  HttpResponse CallDirectly(const OutgoingRequest& request,
                            const HandleLate& handle_late,
                            Coroutine yield);
  // None: there is no relay.
  std::optional<HttpResponse> CallRelay(const OutgoingRequest& request,
                                        const HandleLate& handle_late,
                                        Coroutine yield);
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
  bool reachable = true;
  bool was_silent = false;              // Since the store was reachable.
  MonotonicTime direct_at;              // Last direct call.
  MonotonicTime answered_call_sent_at;  // Of direct calls, the latest one.
};

// Decodes the body of a read: the topic's end, its first offset, then records.
// `from` is the offset of the first record. Errors: kInvalidArgument. Thread
// safe.
Result<TopicBatch> DecodeRecords(const std::string& body, std::int64_t from);

// One record as an append sends it. Thread safe.
std::string EncodeRecord(const std::string& key, const std::string& value);

}  // namespace kumquatcart

#endif  // PLATFORM_STORE_CLIENT_H_
