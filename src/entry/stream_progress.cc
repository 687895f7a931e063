#include "entry/stream_progress.h"

#include <algorithm>

namespace kumquatcart {

std::optional<std::int64_t> StreamProgress::BeginAttempt(
    std::optional<std::int64_t> resume_after) {
  this->resume_after = resume_after;
  this->is_joining = this->last_event.has_value();
  this->has_new_events = false;
  this->attempt_event.reset();
  return this->is_joining ? this->last_event : resume_after;
}

EventVerdict StreamProgress::Accept(const StreamEvent& event) {
  switch (ContentOf(event)) {
    case EventContent::kNone:
      return EventVerdict::kForward;
    case EventContent::kOther:
      return EventVerdict::kForeign;
    case EventContent::kEvent:
      break;
  }
  if (event.id) {
    return this->AcceptId(*event.id);
  }
  if (this->is_joining) {
    return EventVerdict::kForeign;  // Its place in the stream is unknown.
  }
  this->ends_without_id = true;
  this->has_new_events = true;
  return EventVerdict::kForward;
}

EventVerdict StreamProgress::AcceptId(std::int64_t id) {
  this->attempt_event = id;
  if (this->last_event && id <= *this->last_event) {
    return EventVerdict::kSkip;
  }
  const Step step_to_event = this->StepTo(id);
  // Ids need not be consecutive. Only where they were, a number that is left
  // out is an event that is missing.
  if (this->is_joining && this->step == Step::kOne &&
      step_to_event != Step::kOne) {
    return EventVerdict::kGap;
  }
  if (this->step != Step::kOther) {
    this->step = step_to_event;
  }
  this->last_event = id;
  this->ends_without_id = false;
  this->is_joining = false;
  this->has_new_events = true;
  return EventVerdict::kForward;
}

StreamProgress::Step StreamProgress::StepTo(std::int64_t id) const {
  const std::optional<std::int64_t> previous =
      this->last_event ? this->last_event : this->resume_after;
  if (previous) {
    return id == *previous + 1 ? Step::kOne : Step::kOther;
  }
  // Ids that are not consecutive, as of offsets, do not begin with one.
  return id == 1 ? Step::kOne : Step::kUnknown;
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

bool StreamProgress::IsBehind() const {
  return this->is_joining && this->attempt_event && this->last_event &&
         *this->attempt_event < *this->last_event;
}

}  // namespace kumquatcart
