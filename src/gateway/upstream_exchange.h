// One request to one backend server and its answer.
#ifndef GATEWAY_UPSTREAM_EXCHANGE_H_
#define GATEWAY_UPSTREAM_EXCHANGE_H_

#include <atomic>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <cpprest/http_client.h>

#include "base/clock.h"
#include "gateway/connect_guard.h"
#include "gateway/exchange_registry.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_types.h"
#include "gateway/request_truth.h"
#include "gateway/upstream_clients.h"

namespace kumquatcart {

// How an exchange ended.
struct ExchangeEnd {
  ExchangePoint point = ExchangePoint::kNotSent;
  bool timed_out = false;  // A bound on silence passed.
  bool cancelled = false;  // Cancel was called.
  std::string detail;

  auto Tie() const {
    return std::tie(this->point, this->timed_out, this->cancelled,
                    this->detail);
  }
};

// Receives the events of an exchange, one at a time, on threads of the HTTP
// library.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;

  // Status and headers, at most once and before any body.
  virtual void OnHead(const UpstreamAnswerHead& head) = 0;

  // A part of the body. Returns false to be given no more until
  // UpstreamExchange::ResumeBody is called, once for each false.
  virtual bool OnBody(std::string_view bytes) = 0;

  // The end, exactly once, after every other event.
  virtual void OnEnd(const ExchangeEnd& end) = 0;
};

// Sends a request once and reports how far it provably got. Silence is bounded
// for each phase by the clock's timers, not by the transport. Thread safe.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  // Precondition: `clock`, `clients` and `registry` outlive the exchange.
  UpstreamExchange(Clock* clock,
                   UpstreamClients* clients,
                   ExchangeRegistry* registry,
                   const GatewaySettings& settings,
                   std::shared_ptr<ExchangeObserver> observer);

  // Sends `request`, or ends at once as not sent if the registry is closed.
  // Called once.
  void Start(const UpstreamRequest& request);

  // Lets the body go on after OnBody returned false.
  void ResumeBody();

  // Closes the connection, which makes the backend server stop. OnEnd follows.
  void Cancel();

 private:
  // Written to by the HTTP library as the body comes in.
  class BodySink;

  enum class Phase { kConnecting, kSending, kWaiting, kAnswering, kEnded };

  void Send(const UpstreamRequest& request);
  void HandleAnswer(const pplx::task<web::http::http_response>& answered);
  void HandleUpload(std::size_t uploaded, std::size_t total);
  void HandleHead(const web::http::http_response& response);
  // Breaks off an answer whose status is no final one.
  void HandleInvalidStatus(int status);
  pplx::task<void> HandleBody(std::string_view bytes);
  void HandleTransportEnd(const std::exception_ptr& error);
  ExchangeEnd DescribeEnd(const std::exception_ptr& error) const;
  void ReleaseHeldBody();
  void Touch();
  void ArmTimer(Duration delay);
  void HandleTimer();
  Duration PhaseBound() const;

  Clock* clock;
  UpstreamClients* clients;
  ExchangeRegistry* registry;
  const GatewaySettings settings;
  pplx::cancellation_token_source cancellation;
  std::shared_ptr<UpstreamClients::Client> client;
  std::shared_ptr<ConnectGuard> guard;  // Of a fresh connection.
  std::string method;

  std::atomic<Phase> phase{Phase::kConnecting};
  std::atomic<Duration::rep> last_activity{0};
  std::atomic<bool> timed_out{false};
  std::atomic<bool> has_invalid_status{false};
  std::atomic<bool> cancelled{false};
  bool never_started = false;

  // Guards the members below; leaf in the lock order.
  std::mutex mutex;
  std::shared_ptr<ExchangeObserver> observer;
  bool body_held = false;
  bool resume_early = false;
  pplx::task_completion_event<void> body_resumed;
  bool head_delivered = false;
  pplx::task_completion_event<void> head_event;
  TimerId timer = 0;
};

}  // namespace kumquatcart

#endif  // GATEWAY_UPSTREAM_EXCHANGE_H_
