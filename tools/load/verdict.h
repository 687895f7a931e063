// What one answer says, and whether it keeps the promises made to callers.
#ifndef LOAD_VERDICT_H_
#define LOAD_VERDICT_H_

#include <string>
#include <tuple>

#include "base/comparable.h"
#include "base/outcome.h"
#include "load/event_stream.h"
#include "load/http_call.h"
#include "load/schedule.h"

namespace kumquatcart::load {

enum class AnswerFault {
  kNone,
  kUnreachable,     // No connection to the entry VM.
  kNoAnswer,        // The connection ended or timed out before a whole answer.
  kMissingOutcome,  // No outcome where the interface promises one.
  kWrongAnswer,     // Told completed, but the answer is not whole or not its
                    // own.
  kSilentEnd,       // A stream ended without terminator or error event.
};
const char* ToString(AnswerFault fault);

struct Verdict {
  std::string outcome;  // As told; empty when none.
  int status = 0;
  AnswerFault fault = AnswerFault::kNone;

  auto Tie() const {
    return std::tie(this->outcome, this->status, this->fault);
  }
};

// Judges an answer to `request`. `first_request_id` is the id under which a
// keyed request was sent first, whose stored answer a repeat may get. Pure.
Verdict Judge(const PlannedRequest& request,
              const std::string& first_request_id,
              const Result<CallAnswer>& answer,
              const EventStream& stream);

}  // namespace kumquatcart::load

#endif  // LOAD_VERDICT_H_
