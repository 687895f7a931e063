#include "load/verdict.h"

#include "base/ids.h"
#include "common/expected_answer.h"
#include "load/answer_text.h"
#include "load/prompts.h"
#include "model/request.h"

namespace kumquatcart::load {

namespace {

std::string Told(RequestOutcome outcome) {
  return ToString(outcome);
}

bool IsModelRequest(const PlannedRequest& request) {
  return request.kind == RequestKind::kStreamed ||
         request.kind == RequestKind::kWhole;
}

bool IsRightText(const PlannedRequest& request, const std::string& text) {
  return text ==
         tools::ExpectedAnswer(EnginePrompt(request), request.max_tokens);
}

bool IsRightServiceBody(const PlannedRequest& request,
                        const std::string& first_request_id,
                        const std::string& body) {
  const std::string id = FieldOf(body, "request_id");
  const bool own = id == request.request_id || id == first_request_id;
  return own && FieldOf(body, "body_sha256") == Sha256Hex(ServiceBody(request));
}

AnswerFault JudgeStream(const PlannedRequest& request,
                        const EventStream& stream) {
  if (stream.HasError()) {
    return stream.ErrorOutcome().empty() ? AnswerFault::kMissingOutcome
                                         : AnswerFault::kNone;
  }
  if (!stream.IsDone()) {
    return AnswerFault::kSilentEnd;
  }
  return IsRightText(request, stream.Text()) ? AnswerFault::kNone
                                             : AnswerFault::kWrongAnswer;
}

AnswerFault JudgeBody(const PlannedRequest& request,
                      const std::string& first_request_id,
                      const CallAnswer& answer) {
  const bool right =
      IsModelRequest(request)
          ? IsRightText(request, TextOfAnswer(answer.body))
          : IsRightServiceBody(request, first_request_id, answer.body);
  return right ? AnswerFault::kNone : AnswerFault::kWrongAnswer;
}

}  // namespace

const char* ToString(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kNone:
      return "none";
    case AnswerFault::kUnreachable:
      return "unreachable";
    case AnswerFault::kNoAnswer:
      return "no-answer";
    case AnswerFault::kMissingOutcome:
      return "missing-outcome";
    case AnswerFault::kWrongAnswer:
      return "wrong-answer";
    case AnswerFault::kSilentEnd:
      return "silent-end";
  }
  return "unknown";
}

Verdict Judge(const PlannedRequest& request,
              const std::string& first_request_id,
              const Result<CallAnswer>& answer,
              const EventStream& stream) {
  if (!answer.has_value()) {
    return Verdict{"", 0, AnswerFault::kUnreachable};
  }
  const CallAnswer& call = answer.value();
  Verdict verdict{call.outcome, call.status, AnswerFault::kNone};
  const bool streaming =
      request.kind == RequestKind::kStreamed && call.status == 200;
  if (streaming) {
    verdict.outcome = stream.HasError() ? stream.ErrorOutcome()
                                        : Told(RequestOutcome::kCompleted);
    verdict.fault = JudgeStream(request, stream);
    if (verdict.fault == AnswerFault::kSilentEnd) {
      verdict.outcome.clear();
    }
    return verdict;
  }
  if (!call.whole) {
    verdict.outcome.clear();
    verdict.fault = AnswerFault::kNoAnswer;
    return verdict;
  }
  if (call.outcome.empty()) {
    verdict.fault = AnswerFault::kMissingOutcome;
    return verdict;
  }
  if (call.outcome == Told(RequestOutcome::kCompleted) && call.status == 200) {
    verdict.fault = JudgeBody(request, first_request_id, call);
  }
  return verdict;
}

}  // namespace kumquatcart::load
