// What is true about a request after an exchange with a backend server failed.
#ifndef GATEWAY_REQUEST_TRUTH_H_
#define GATEWAY_REQUEST_TRUTH_H_

#include <ostream>
#include <tuple>

#include "base/comparable.h"
#include "model/request.h"

namespace kumquatcart {

// How far an exchange provably got before it ended. Ordered.
enum class ExchangePoint {
  kNotSent,     // No byte of the request left: refused or no connection.
  kRefused,     // The backend server declared that it did not begin.
  kSending,     // Connected; part of the request may have left.
  kSent,        // The whole request left; no answer began.
  kAnswering,   // The answer began and broke off, or fell silent.
  kWholeAnswer  // The whole answer of this attempt came.
};
const char* ToString(ExchangePoint point);
std::ostream& operator<<(std::ostream& out, ExchangePoint point);

// What may be done with a request more than once.
enum class RequestKind {
  kIdempotent,     // May run again.
  kNonIdempotent,  // Runs at most once.
  kKeyed,  // Runs at most once, and repeats with the same key are one request.
};
std::ostream& operator<<(std::ostream& out, RequestKind kind);

// Verdict on one failed attempt.
struct AttemptVerdict {
  bool may_have_run = false;
  bool may_try_again = false;

  auto Tie() const { return std::tie(this->may_have_run, this->may_try_again); }
};

// Judges an attempt that ended at `point`. Pure; thread safe.
AttemptVerdict JudgeAttempt(RequestKind kind, ExchangePoint point);

// Gathers what the attempts of one request prove. Not thread safe.
class RequestTruth {
 public:
  explicit RequestTruth(RequestKind kind);

  // Takes in an ended attempt and returns the verdict on it.
  AttemptVerdict Record(ExchangePoint point);

  // What a caller must be told if no further attempt is made.
  RequestOutcome Outcome() const;

 private:
  RequestKind kind;
  bool may_have_run = false;
  bool completed = false;
};

}  // namespace kumquatcart

#endif  // GATEWAY_REQUEST_TRUTH_H_
