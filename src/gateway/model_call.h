// One completion request from admission to its final answer.
#ifndef GATEWAY_MODEL_CALL_H_
#define GATEWAY_MODEL_CALL_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gateway/answer_format.h"
#include "gateway/engine_attempt.h"
#include "gateway/gateway_context.h"
#include "gateway/incoming_request.h"
#include "gateway/request_truth.h"
#include "gateway/token_sequencer.h"

namespace kumquatcart {

// Runs a completion: waits for admission, makes one attempt at a time, resumes
// a broken answer at its next token elsewhere, and answers the caller once.
//
// Events of the attempt in progress come one at a time, and the next attempt
// starts after the last one's end, so that what only they touch needs no lock.
class ModelCall : public EngineAttemptOwner,
                  public std::enable_shared_from_this<ModelCall> {
 public:
  ModelCall(std::shared_ptr<IncomingRequest> incoming,
            CompletionRequest request,
            Configured<ModelService> service);

  // Begins. Called once.
  void Start();

  void OnAnswer(ResponseFraming framing) override;
  ChunkReaction OnChunk(const GenerateChunk& chunk) override;
  void OnAttemptEnd(const ExchangeEnd& end) override;

 private:
  // Why the call stops before it is complete.
  enum class StopCause { kNone, kDeadline, kCallerGone };

  void HandleAdmission(const Status& admitted);
  void TryAttempt();
  Result<Route> ChooseRoute();
  void StartAttempt();
  void DeliverTokens(const std::vector<std::string>& tokens);
  ChunkReaction PushToCaller(const std::string& events);
  void ResumeAttempt();
  void BeginStreamOnce();
  void CountWrongChunk(ChunkVerdict verdict, const GenerateChunk& chunk);
  void Complete();
  std::string EndingEvents() const;
  WholeReply MakeWholeReply();
  bool MayTryAgain(const AttemptVerdict& verdict, const ExchangeEnd& end);
  void GiveUp(const Error& error);
  void StopForCause(StopCause cause);
  StopCause ReadStopCause() const;
  Error DescribeStop() const;
  void EndAdmission();
  Duration Timeout() const;

  const std::shared_ptr<IncomingRequest> incoming;
  GatewayContext* const context;
  const CompletionRequest request;
  const Configured<ModelService> service;
  // Events are kept for a whole reply, since the caller accepts no chunks.
  const bool collects_events;
  const AnswerFormat format;
  AdmissionRequest admission;
  TimerId deadline_timer = 0;

  // Touched by events of the attempt in progress only.
  RequestTruth truth;
  TokenSequencer sequencer;
  Route route;
  AttemptId attempt;
  std::vector<BackendId> excluded;
  int attempts = 0;
  bool complete = false;
  ResponseFraming answer_framing = ResponseFraming::kNone;
  MonotonicTime attempt_started_at;
  MonotonicTime first_chunk_at;
  bool has_first_chunk = false;
  std::string text;
  std::shared_ptr<RelayBuffer> stream;

  // Guards the members below; leaf in the lock order.
  mutable std::mutex mutex;
  std::shared_ptr<UpstreamExchange> exchange;
  StopCause stop_cause = StopCause::kNone;
  bool admitted = false;
};

}  // namespace kumquatcart

#endif  // GATEWAY_MODEL_CALL_H_
