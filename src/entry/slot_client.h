// Slots of replica groups that the slot coordinator assigns to this entry VM.
#ifndef ENTRY_SLOT_CLIENT_H_
#define ENTRY_SLOT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/metrics.h"
#include "entry/slot_network.h"
#include "entry/slot_query.h"

namespace kumquatcart {

// State of a request at the slot coordinator.
struct SlotRequestStatus {
  enum class State { kPending, kGranted, kRejected, kUnavailable };

  State state = State::kUnavailable;
  // If pending: time of the next call of Check() at the latest.
  MonotonicTime check_at;
  // If granted.
  std::string group;
  std::int64_t epoch = 0;
  std::string server;
  // If rejected.
  Duration retry_after{0};
  // Whether the request was queued and no slot became free in time.
  bool has_expired = false;
};

// Requests slots from the coordinator and reports the slots in use to it. No
// request waits for a coordinator that does not answer: this VM then selects
// groups by itself. Not thread safe: used on the event loop's thread only.
class SlotClient {
 public:
  // `network` and `metrics` must outlive this object. `first_id`: above zero,
  // unlike that of any earlier process of this node.
  SlotClient(std::string node,
             SlotNetwork* network,
             MetricRegistry* metrics,
             std::int64_t first_id)
      : node(std::move(node)),
        network(network),
        metrics(metrics),
        last_id(first_id) {}

  // Whether this VM is the coordinator.
  bool IsCoordinator() const {
    return this->network->FindCoordinator() == this->node;
  }

  // Requests a slot and returns the id of the request, or 0 if there is no
  // other node to ask. `notify` is called when Check() has news.
  std::int64_t Begin(const SlotQuery& query, std::function<void()> notify);

  // The state of a request that Begin() returned. It ends with any other state
  // than kPending; a granted slot is then held until Return().
  SlotRequestStatus Check(std::int64_t id);

  // Gives up a request that is pending.
  void Cancel(std::int64_t id);

  // Notes that this VM uses a slot that it has selected by itself. Returns the
  // id to return it by.
  std::int64_t Hold(const std::string& server);

  // Returns a slot.
  void Return(std::int64_t id);

  void HandleReply(const SlotReply& reply);

  // Reports the slots in use to the coordinator. To be called several times a
  // second.
  void Report();

 private:
  struct PendingRequest {
    SlotQuery query;
    std::function<void()> notify;
    std::string coordinator;
    MonotonicTime answer_by;  // Of the last message.
    bool is_asked = true;     // The last message awaits an answer.
    bool has_news = false;
    SlotRequestStatus status;
  };

  void SendAsk(std::int64_t id, PendingRequest* request);
  void SendReport(const std::string& coordinator);
  void SendReturn(const std::string& coordinator, std::int64_t id);
  void NoteSilence(const std::string& coordinator);
  void CountOutcome(const char* outcome);

  const std::string node;
  SlotNetwork* const network;
  MetricRegistry* const metrics;
  std::int64_t last_id;
  std::map<std::int64_t, PendingRequest> pending;
  std::map<std::int64_t, std::string> held;  // Servers by id.
  std::string reported_to;
  int missed_replies = 0;  // In a row.
  MonotonicTime ask_after;
};

}  // namespace kumquatcart

#endif  // ENTRY_SLOT_CLIENT_H_
