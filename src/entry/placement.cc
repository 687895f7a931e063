#include "entry/placement.h"

#include <utility>

namespace kumquatcart {

Placement::Placement(WorkCounts counts,
                     const BackendServer& server,
                     std::string group,
                     std::int64_t epoch,
                     int prompt_tokens,
                     std::function<void()> released)
    : counts(counts),
      server_id(server.id),
      address(server.endpoint),
      group(std::move(group)),
      epoch(epoch),
      unread_tokens(prompt_tokens),
      released(std::move(released)) {
  this->counts.requests->Begin(this->server_id);
  if (this->unread_tokens > 0) {
    this->counts.unread->Begin(this->server_id, this->unread_tokens);
  }
}

Placement::~Placement() {
  this->NotePromptRead();
  this->counts.requests->End(this->server_id);
  if (this->released) {
    this->released();
  }
}

void Placement::NotePromptRead() {
  if (this->unread_tokens > 0) {
    this->counts.unread->End(this->server_id, this->unread_tokens);
    this->unread_tokens = 0;
  }
}

}  // namespace kumquatcart
