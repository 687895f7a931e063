// Progress of a caller's stream over all attempts.
#ifndef ENTRY_STREAM_PROGRESS_H_
#define ENTRY_STREAM_PROGRESS_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "entry/event_splitter.h"

namespace kumquatcart {

// What is done with an event that a server sends.
enum class EventVerdict {
  kForward,
  kSkip,     // An earlier attempt has forwarded it.
  kGap,      // Events before it are missing.
  kForeign,  // It is not known to belong to the stream.
};

// Decides which events of each attempt continue the caller's stream. Not thread
// safe.
class StreamProgress {
 public:
  // Begins an attempt. `resume_after`: the event after which the caller itself
  // resumes the stream. Returns the event after which the server must begin;
  // none for the whole stream.
  std::optional<std::int64_t> BeginAttempt(
      std::optional<std::int64_t> resume_after);

  // Judges the next event of the attempt. One with kForward counts as
  // forwarded; after kGap and kForeign the attempt must end.
  EventVerdict Accept(const StreamEvent& event);

  // Records that events were forwarded at `now`.
  void NoteForwarded(MonotonicTime now);

  // Records that it is unknown which of the accepted events were forwarded.
  void NoteFailure() { this->has_failed = true; }

  // Whether another attempt can continue the stream: the latest event that was
  // forwarded, if any, is known and has an id.
  bool CanResume() const { return !this->ends_without_id && !this->has_failed; }
  // Whether the attempt has sent an event that the caller did not have.
  bool HasNewEvents() const { return this->has_new_events; }
  // Whether the events of the attempt stop before the latest one that the
  // caller has.
  bool IsBehind() const;

  // Highest event id forwarded.
  std::optional<std::int64_t> LastEvent() const { return this->last_event; }
  bool HasForwarded() const { return this->has_forwarded; }
  // Precondition: HasForwarded().
  MonotonicTime FirstForwardedAt() const { return this->first_forwarded_at; }
  // Longest time between two events.
  Duration LongestPause() const { return this->longest_pause; }

 private:
  // Distance between the ids of successive events.
  enum class Step { kUnknown, kOne, kOther };

  EventVerdict AcceptId(std::int64_t id);
  Step StepTo(std::int64_t id) const;

  std::optional<std::int64_t> last_event;
  std::optional<std::int64_t> resume_after;
  Step step = Step::kUnknown;  // Of all events so far.
  bool ends_without_id = false;
  bool has_failed = false;

  // Of the attempt.
  bool is_joining = false;  // It has not continued the caller's stream yet.
  bool has_new_events = false;
  std::optional<std::int64_t> attempt_event;  // Latest id.

  bool has_forwarded = false;
  MonotonicTime first_forwarded_at;
  MonotonicTime last_forwarded_at;
  Duration longest_pause{0};
};

}  // namespace kumquatcart

#endif  // ENTRY_STREAM_PROGRESS_H_
