// A request's slot at a backend server.
#ifndef ENTRY_SERVER_SLOT_H_
#define ENTRY_SERVER_SLOT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "model/backend_server.h"
#include "routing/cluster_load.h"

namespace kumquatcart {

// Load counters by server. Not owned.
struct ServerLoadCounters {
  ClusterLoad* requests = nullptr;  // Requests in progress.
  ClusterLoad* unread = nullptr;    // Prompt tokens awaiting prefill.
};

// Counts one request in the server's load during its lifetime. Runs on the
// event loop's thread.
class ServerSlot {
 public:
  // `released` is called by the destructor; may be null.
  ServerSlot(ServerLoadCounters counts,
             const BackendServer& server,
             std::string group,
             std::int64_t epoch,
             int prompt_tokens,
             std::function<void()> released);
  ~ServerSlot();
  ServerSlot(const ServerSlot&) = delete;
  ServerSlot& operator=(const ServerSlot&) = delete;

  const std::string& ServerId() const { return this->server_id; }
  // Unix time of the server's start when the slot was assigned; 0 if unknown.
  std::int64_t StartedMs() const { return this->started_ms; }
  const Endpoint& Address() const { return this->address; }
  const std::string& FailureDomain() const { return this->failure_domain; }
  // Empty for servers of plain services.
  const std::string& Group() const { return this->group; }
  std::int64_t Epoch() const { return this->epoch; }

  // Removes the prompt from the prefill load, once the server begins to answer.
  void NotePrefillDone();

 private:
  const ServerLoadCounters counts;
  const std::string server_id;
  const std::int64_t started_ms;
  const Endpoint address;
  const std::string failure_domain;
  const std::string group;
  const std::int64_t epoch;
  int pending_prefill_tokens;
  const std::function<void()> released;
};
using ServerSlotPtr = std::unique_ptr<ServerSlot>;

}  // namespace kumquatcart

#endif  // ENTRY_SERVER_SLOT_H_
