// A caller's request, checked and identified, and the way to answer it.
#ifndef GATEWAY_INCOMING_REQUEST_H_
#define GATEWAY_INCOMING_REQUEST_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <cpprest/http_msg.h>

#include "base/clock.h"
#include "base/outcome.h"
#include "gateway/active_requests.h"
#include "gateway/caller_identity.h"
#include "gateway/completion_request.h"
#include "gateway/gateway_context.h"
#include "gateway/http_types.h"
#include "gateway/relay_buffer.h"
#include "model/request.h"

namespace kumquatcart {

// A reply that is sent in one piece.
struct WholeReply {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;

  auto Tie() const {
    return std::tie(this->status, this->content_type, this->headers,
                    this->body);
  }
};

// `reply` as a response of the HTTP library. Thread safe.
web::http::http_response MakeResponse(WholeReply reply);

// HTTP status for a refusal with `code`.
int StatusOfError(ErrorCode code);

// One caller's request. It is answered once, by Reply, Refuse or BeginStream;
// later answers are ignored. Thread safe.
class IncomingRequest : public std::enable_shared_from_this<IncomingRequest> {
 public:
  IncomingRequest(GatewayContext* context,
                  const web::http::http_request& transport);

  GatewayContext* const context;
  const MonotonicTime arrived_at;

  // Set before the request is handed on, constant afterwards.
  RequestOptions options;
  CallerIdentity caller;
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;

  // False for callers of HTTP/1.0: a body must state its length.
  bool AcceptsChunks() const;

  // Sends a whole reply and ends the request.
  void Reply(RequestOutcome outcome, WholeReply reply);

  // Replies with a JSON error and ends the request.
  void Refuse(RequestOutcome outcome, const Error& error);
  void Refuse(RequestOutcome outcome, const Error& error, int status);

  // Sends the headers of an event stream whose body is `buffer`. Calls
  // `on_gone` when the caller's connection is lost or the caller reads nothing
  // for too long. The request is in progress until the caller has it all.
  void BeginStream(const std::shared_ptr<RelayBuffer>& buffer,
                   std::function<void()> on_gone);

  // Ends a streamed request: counts and logs it.
  void End(RequestOutcome outcome, const std::string& detail);

  // Ends a request whose caller left.
  void EndGone();

  const web::http::http_request& Transport() const { return this->transport; }

  // Names the latest attempt for the log line.
  void NoteAttempt(const AttemptId& attempt, const GroupId& group);
  // Name the latest answer's framing and the last token received, for the log
  // line.
  void NoteAnswer(ResponseFraming framing) { this->answer_framing = framing; }
  void NoteToken(int index) { this->last_token = index; }

 private:
  void LeaveActive();
  void WatchStall(const std::shared_ptr<RelayBuffer>& buffer,
                  std::uint64_t taken_before,
                  const std::function<void()>& on_gone);
  void Send(RequestOutcome outcome, WholeReply reply);
  void LogEnd(const char* outcome, const std::string& detail) const;
  Duration Elapsed() const;

  web::http::http_request transport;
  const ActiveRequests::Slot live_slot;
  std::mutex slot_mutex;
  std::unique_ptr<ActiveRequests::Slot> active_slot;
  std::atomic<bool> sent{false};
  std::atomic<bool> answered{false};
  std::atomic<bool> ended{false};
  AttemptId last_attempt;
  GroupId last_group;
  int attempts = 0;
  std::atomic<ResponseFraming> answer_framing{ResponseFraming::kNone};
  std::atomic<int> last_token{-1};  // -1: none.
};

}  // namespace kumquatcart

#endif  // GATEWAY_INCOMING_REQUEST_H_
