// One request to a plain service from admission to its final answer.
#ifndef GATEWAY_SERVICE_CALL_H_
#define GATEWAY_SERVICE_CALL_H_

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/idempotency_store.h"
#include "gateway/incoming_request.h"
#include "gateway/request_truth.h"
#include "gateway/upstream_exchange.h"

namespace kumquatcart {

// Tells what kind of request `method` `path` is to `service`; `path` begins
// below /services/{service}. Pure; thread safe.
RequestKind ClassifyServiceRequest(const PlainService& service,
                                   const std::string& method,
                                   const std::string& path,
                                   const IdempotencyKey& key);

// Runs one request: waits for admission, claims its idempotency key where it
// has one, makes one attempt at a time, and answers the caller once with the
// service's whole answer or with what is true.
//
// Events of the attempt in progress come one at a time, and the next attempt
// starts after the last one's end, so that what only they touch needs no lock.
class ServiceCall : public ExchangeObserver,
                    public std::enable_shared_from_this<ServiceCall> {
 public:
  // `path_and_query` begins below /services/{service}.
  ServiceCall(std::shared_ptr<IncomingRequest> incoming,
              Configured<PlainService> service,
              std::string path_and_query,
              RequestKind kind);

  // Begins. Called once.
  void Start();

  void OnHead(const UpstreamAnswerHead& head) override;
  bool OnBody(std::string_view bytes) override;
  void OnEnd(const ExchangeEnd& end) override;

 private:
  void Submit();
  void HandleAdmission(const Status& admitted);
  void HandleClaim(const Result<ClaimVerdict>& claim);
  void ReplyFromClaim(const ClaimVerdict& verdict);
  Result<Route> ChooseRoute();
  void TryAttempt();
  void StartAttempt();
  UpstreamRequest BuildRequest() const;
  ExchangeEnd CheckAnswer(const ExchangeEnd& end);
  void FinishRoute(const ExchangeEnd& end);
  bool MayTryAgain(const AttemptVerdict& verdict, const ExchangeEnd& end);
  void Complete();
  void GiveUp(const Error& error);
  void SettleClaim(RequestOutcome outcome);
  void HandleDeadline();
  bool DeadlinePassed() const;
  Error DescribeFailure() const;
  void EndAdmission();
  Duration Timeout() const;

  const std::shared_ptr<IncomingRequest> incoming;
  GatewayContext* const context;
  const Configured<PlainService> service;
  const std::string path_and_query;
  const RequestKind kind;
  const ClaimKey claim_key;
  AdmissionRequest admission;
  TimerId deadline_timer = 0;

  // Touched by events of the attempt in progress only.
  RequestTruth truth;
  bool claim_owned = false;
  Route route;
  AttemptId attempt;
  std::vector<BackendId> excluded;
  int attempts = 0;
  MonotonicTime attempt_started_at;
  UpstreamAnswerHead head;
  MonotonicTime head_at;
  std::string body;
  std::string rejected;  // Why the answer in progress is not used.

  // Guards the members below; leaf in the lock order.
  mutable std::mutex mutex;
  std::shared_ptr<UpstreamExchange> exchange;
  bool deadline_passed = false;
  bool admitted = false;
};

}  // namespace kumquatcart

#endif  // GATEWAY_SERVICE_CALL_H_
