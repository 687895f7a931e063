#include "gateway/request_truth.h"

namespace kumquatcart {

const char* ToString(ExchangePoint point) {
  switch (point) {
    case ExchangePoint::kNotSent:
      return "not-sent";
    case ExchangePoint::kRefused:
      return "refused";
    case ExchangePoint::kSending:
      return "sending";
    case ExchangePoint::kSent:
      return "sent";
    case ExchangePoint::kAnswering:
      return "answering";
    case ExchangePoint::kWholeAnswer:
      return "whole-answer";
  }
  return "invalid";
}

std::ostream& operator<<(std::ostream& out, ExchangePoint point) {
  return out << ToString(point);
}

std::ostream& operator<<(std::ostream& out, RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return out << "idempotent";
    case RequestKind::kNonIdempotent:
      return out << "non-idempotent";
    case RequestKind::kKeyed:
      return out << "keyed";
  }
  return out << "invalid";
}

AttemptVerdict JudgeAttempt(RequestKind kind, ExchangePoint point) {
  AttemptVerdict verdict;
  if (point == ExchangePoint::kWholeAnswer) {
    verdict.may_have_run = true;
    return verdict;
  }
  verdict.may_have_run = point >= ExchangePoint::kSending;
  verdict.may_try_again =
      kind == RequestKind::kIdempotent || !verdict.may_have_run;
  return verdict;
}

RequestTruth::RequestTruth(RequestKind kind) : kind(kind) {}

AttemptVerdict RequestTruth::Record(ExchangePoint point) {
  const AttemptVerdict verdict = JudgeAttempt(this->kind, point);
  this->may_have_run = this->may_have_run || verdict.may_have_run;
  this->completed = this->completed || point == ExchangePoint::kWholeAnswer;
  return verdict;
}

RequestOutcome RequestTruth::Outcome() const {
  if (this->completed) {
    return RequestOutcome::kCompleted;
  }
  return this->may_have_run ? RequestOutcome::kUnknown
                            : RequestOutcome::kNotRun;
}

}  // namespace kumquatcart
