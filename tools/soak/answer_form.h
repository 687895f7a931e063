// How a stand-in server frames its answers, and where it breaks them off.
#ifndef SOAK_ANSWER_FORM_H_
#define SOAK_ANSWER_FORM_H_

#include <string>
#include <tuple>

#include "base/comparable.h"

namespace kumquatcart::soak {

enum class BreakEnd {
  kFramed,  // The framing ends as that of a whole answer.
  kClosed,  // The connection closes in order.
  kReset,
};

// The default is a whole answer with a length or chunks. If the server has to
// break it off, the framing does not end: nothing else would tell a stream that
// stops between two events from a whole one.
struct AnswerForm {
  bool ends_with_connection = false;  // Neither a length nor chunks.
  std::string line_end = "\n";        // Of the events of a stream.
  // Every write but the last ends within an event, so that a stream which is
  // cut between two writes is recognisable.
  bool splits_events = false;
  int breaks_after = 0;  // Breaks off within the event after this; 0: never.
  BreakEnd break_end = BreakEnd::kClosed;

  auto Tie() const {
    return std::tie(this->ends_with_connection, this->line_end,
                    this->splits_events, this->breaks_after, this->break_end);
  }
};

// The form of the answer of `server` to one request: the same each time. Thread
// safe.
AnswerForm DrawAnswerForm(const std::string& server,
                          const std::string& request_id);

}  // namespace kumquatcart::soak

#endif  // SOAK_ANSWER_FORM_H_
