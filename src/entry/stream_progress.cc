#include "entry/stream_progress.h"

#include <algorithm>

namespace kumquatcart {

std::optional<std::int64_t> StreamProgress::BeginAttempt(
    std::optional<std::int64_t> resume_after) {
  this->has_attempt_events = false;
  return this->last_event ? this->last_event : resume_after;
}

EventVerdict StreamProgress::Accept(const StreamEvent& event) {
  this->has_attempt_events = true;
  return event.id ? this->AcceptId(*event.id) : EventVerdict::kForward;
}

EventVerdict StreamProgress::AcceptId(std::int64_t id) {
  if (this->last_event && id <= *this->last_event) {
    return EventVerdict::kSkip;
  }
  this->last_event = id;
  return EventVerdict::kForward;
}

void StreamProgress::NoteForwarded(MonotonicTime now) {
  if (this->has_forwarded) {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_forwarded_at);
  } else {
    this->has_forwarded = true;
    this->first_forwarded_at = now;
  }
  this->last_forwarded_at = now;
}

}  // namespace kumquatcart
