#include "entry/server_slot.h"

#include <utility>

namespace kumquatcart {

ServerSlot::ServerSlot(ServerLoadCounters counts,
                       const BackendServer& server,
                       std::string group,
                       std::int64_t epoch,
                       int prompt_tokens,
                       std::function<void()> released)
    : counts(counts),
      server_id(server.id),
      started_ms(server.started_ms),
      address(server.endpoint),
      failure_domain(server.failure_domain),
      group(std::move(group)),
      epoch(epoch),
      pending_prefill_tokens(prompt_tokens),
      released(std::move(released)) {
  this->counts.requests->Begin(this->server_id);
  if (this->pending_prefill_tokens > 0) {
    this->counts.unread->Begin(this->server_id, this->pending_prefill_tokens);
  }
}

ServerSlot::~ServerSlot() {
  this->NotePrefillDone();
  this->counts.requests->End(this->server_id);
  if (this->released) {
    this->released();
  }
}

void ServerSlot::NotePrefillDone() {
  if (this->pending_prefill_tokens > 0) {
    this->counts.unread->End(this->server_id, this->pending_prefill_tokens);
    this->pending_prefill_tokens = 0;
  }
}

}  // namespace kumquatcart
