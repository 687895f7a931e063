// The callers' and operators' HTTP interface of an entry VM.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <cpprest/http_listener.h>

#include "base/outcome.h"
#include "gateway/caller_identity.h"
#include "gateway/gateway_context.h"
#include "gateway/incoming_request.h"

namespace kumquatcart {

// A request to a page that another layer serves through the gateway.
struct PageRequest {
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;
};

// Serves pages. Runs on the worker pool, so that it may block. Thread safe.
using PageHandler = std::function<WholeReply(const PageRequest& request)>;

// Serves callers: completions, plain services, health, metrics and status.
// All methods are thread safe.
class Gateway {
 public:
  // Precondition: `parts` outlive the gateway.
  Gateway(const GatewayParts& parts, const GatewaySettings& settings);
  // Stops. Precondition: no request waits in admission any more.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Serves paths that begin with `prefix` by `handler`. Called before Start.
  void AddPage(std::string prefix, PageHandler handler);

  // Opens the port. Errors: kUnavailable when it can't be opened.
  Status Start();

  // Stops being ready, serves on while the balancer notices, then refuses new
  // requests as not run, and returns when every accepted one has its answer.
  void Drain();

  // Breaks off what is still in progress, with the truth to its callers, and
  // closes the port once their answers are sent, or cut after a bound.
  // Idempotent.
  void Stop();

  // Whether /readyz says so: configuration is known and no drain has begun.
  bool IsReady() const;

  // Whether new requests are served; false once a drain has let the balancer
  // notice.
  bool AcceptsRequests() const { return this->accepting; }

 private:
  struct Page {
    std::string prefix;
    PageHandler handler;
  };

  using Listener = web::http::experimental::listener::http_listener;

  Result<std::unique_ptr<Listener>> Open(
      const std::string& host,
      std::int64_t port,
      std::function<void(const web::http::http_request&)> handler);
  void HandleRequest(const web::http::http_request& transport);
  void HandleOperatorRequest(const web::http::http_request& transport);
  // Waits until all answers are sent, those of pages included, for at most
  // kStopAnswerTimeout. Precondition: callers' new requests are refused.
  void WaitForAnswers();
  void SendPage(const web::http::http_request& transport, WholeReply page);
  bool ServeHealth(const web::http::http_request& transport);
  void Dispatch(const std::shared_ptr<IncomingRequest>& incoming);
  void DispatchCompletion(const std::shared_ptr<IncomingRequest>& incoming,
                          CompletionKind kind);
  void DispatchService(const std::shared_ptr<IncomingRequest>& incoming);
  void ReadBodyThen(const std::shared_ptr<IncomingRequest>& incoming,
                    std::function<void()> next);
  void RefuseInput(const std::shared_ptr<IncomingRequest>& incoming,
                   const Error& error);
  void RefuseInput(const std::shared_ptr<IncomingRequest>& incoming,
                   const Error& error,
                   int status);
  bool ServeOwnPage(const web::http::http_request& transport);
  bool ServeAddedPage(const web::http::http_request& transport);
  Status Identify(const std::shared_ptr<IncomingRequest>& incoming);
  std::shared_ptr<const CallerDirectory> Directory();
  std::string RenderStatusPage();

  GatewayContext context;
  std::vector<Page> pages;
  const std::shared_ptr<ActiveRequests> active_pages =
      std::make_shared<ActiveRequests>();
  std::atomic<bool> draining{false};
  std::atomic<bool> accepting{true};
  std::mutex mutex;  // Guards `directory`; leaf in the lock order.
  std::shared_ptr<const CallerDirectory> directory;
  std::unique_ptr<Listener> listener;
  std::unique_ptr<Listener> operator_listener;  // Null: pages beside callers.
};

}  // namespace kumquatcart

#endif  // GATEWAY_GATEWAY_H_
