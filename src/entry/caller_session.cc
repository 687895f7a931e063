#include "entry/caller_session.h"

#include "base/logging.h"
#include "base/scope_guard.h"
#include "entry/answer_sender.h"
#include "entry/entry_constants.h"
#include "entry/request_forwarder.h"
#include "entry/request_reader.h"
#include "net/failure_boundary.h"
#include "net/http_status.h"
#include "platform/caller_codec.h"

namespace kumquatcart {

namespace {

// Time for a caller to read the last answer before its connection is closed or
// reset.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

// How a session's connection is closed.
enum class SessionEnd {
  kClose,   // At once: no answer is in flight.
  kLinger,  // The close must not destroy an answer, or a part of one.
  kReset,   // An incomplete answer ends with the connection.
};

CallerLimits LimitsOf(const EntryContext& context) {
  return context.routes ? context.routes->Config().limits : CallerLimits{};
}

int StatusFor(RequestReadStatus result) {
  switch (result) {
    case RequestReadStatus::kTimedOut:
      return kHttpRequestTimeout;
    case RequestReadStatus::kHeaderTooLarge:
      return kHttpRequestHeaderFieldsTooLarge;
    case RequestReadStatus::kBodyTooLarge:
      return kHttpPayloadTooLarge;
    case RequestReadStatus::kNoMemory:
      return kHttpServiceUnavailable;
    default:
      return kHttpBadRequest;
  }
}

// Answers a request that was not read to its end.
void RefuseRequest(const RequestReadResult& outcome, AnswerSender* answer) {
  const int status = StatusFor(outcome.result);
  if (outcome.result != RequestReadStatus::kNoMemory) {
    LogInfo("request_rejected", {{"status", status}});
    answer->SendWhole(status, {}, {});
    return;
  }
  const Result<CallerRequest> request =
      DecodeCallerRequest(outcome.request.method, outcome.request.target,
                          outcome.request.headers, {});
  const std::string id = request.has_error() ? "" : request.value().id;
  LogInfo("request_rejected",
          {{"id", id}, {"status", status}, {"reason", "memory is short"}});
  // Requests that are read too slowly can be ended by then.
  answer->SendWhole(status, OwnAnswerFields(id, kMinReadTime), {});
}

// Lingering close: shuts down the sending side and discards input until the
// caller closes, so that a reset does not destroy data in flight.
void Linger(EntryContext* context,
            TcpConnection* connection,
            Waiter* waiter,
            Coroutine yield) {
  connection->FinishSending();
  const MonotonicTime deadline = context->loop->Now() + kLingerTimeout;
  std::size_t discarded = 0;
  bool in_time = true;
  while (in_time) {
    discarded += connection->Input().size();
    connection->Consume(connection->Input().size());
    in_time = !connection->HasEnded() && waiter->WaitUntil(deadline, yield);
  }
  if (discarded > 0) {
    context->metrics->GetCounter("kumquatcart_discarded_input_bytes_total")
        .Add(discarded);
    LogInfo("input_discarded", {{"bytes", discarded}});
  }
}

// Gives an incomplete answer time to leave before its connection is reset.
void WaitUntilSent(EntryContext* context,
                   TcpConnection* connection,
                   Waiter* waiter,
                   Coroutine yield) {
  const MonotonicTime deadline = context->loop->Now() + kLingerTimeout;
  while (connection->UnsentBytes() > 0 && !connection->HasEnded() &&
         waiter->WaitUntil(deadline, yield)) {
  }
}

SessionEnd EndForIncomplete(const AnswerSender& answer) {
  if (!answer.HasBegun()) {
    return SessionEnd::kClose;
  }
  return answer.Framing() == ResponseFraming::kConnection ? SessionEnd::kReset
                                                          : SessionEnd::kLinger;
}

// Logs a close that this process decides on.
void LogIdleClose(const RequestReadResult& outcome,
                  const CallerLimits& limits,
                  MetricRegistry* metrics) {
  metrics
      ->GetCounter("kumquatcart_idle_closes_total",
                   {{"cause", ToString(outcome.cause)}})
      .Add();
  if (outcome.cause != IdleCloseCause::kCaller) {
    LogInfo("idle_connection_closed",
            {{"cause", ToString(outcome.cause)},
             {"idle_ms", ToMillis(outcome.idle_time)},
             {"limit_ms", ToMillis(limits.idle_timeout)}});
  }
}

// Forwards one request. Returns false if the connection must be closed because
// the answer is incomplete.
bool ForwardRequest(EntryContext* context,
                    RequestReadResult* outcome,
                    TcpConnection* connection,
                    Waiter* waiter,
                    AnswerSender* answer,
                    Coroutine yield) {
  ParsedRequest& read = outcome->request;
  Result<CallerRequest> request = DecodeCallerRequest(
      std::move(read.method), read.target, read.headers, std::move(read.body));
  if (request.has_error()) {
    LogInfo("request_rejected",
            {{"status", kHttpBadRequest}, {"reason", request.error().message}});
    answer->SendWhole(kHttpBadRequest, {}, {});
    return true;
  }
  ++context->requests_in_progress;
  const ScopeGuard guard([context] { --context->requests_in_progress; });
  return RequestForwarder(context, request.value(), outcome->received_at,
                          connection, waiter, answer)
      .Run(yield);
}

// As ForwardRequest(). A request whose handling fails is answered with 502,
// since it may have run.
bool HandleRequest(EntryContext* context,
                   RequestReadResult* outcome,
                   TcpConnection* connection,
                   Waiter* waiter,
                   AnswerSender* answer,
                   Coroutine yield) {
  bool is_answered = false;
  if (ContainFailure(context->loop, "request", [&] {
        is_answered =
            ForwardRequest(context, outcome, connection, waiter, answer, yield);
      })) {
    return is_answered;
  }
  if (answer->HasBegun()) {
    return false;
  }
  LogInfo("request_rejected", {{"status", kHttpBadGateway},
                               {"reason", "the request cannot be handled"}});
  answer->SendWhole(kHttpBadGateway, {}, {});
  return true;
}

// Serves requests until the connection must be closed. With kClose, input after
// the last request stays unread, since a caller may send it again only if it
// was not read.
SessionEnd ServeRequests(EntryContext* context,
                         TcpConnection* connection,
                         Waiter* waiter,
                         Coroutine yield) {
  RequestReader reader(
      context->loop, connection, waiter,
      [context] { return LimitsOf(*context); }, context->request_memory);
  for (bool is_unused = true;; is_unused = false) {
    RequestReadResult outcome =
        reader.Read(is_unused ? &context->close_unused_connections
                              : &context->close_idle_connections,
                    yield);
    if (outcome.result == RequestReadStatus::kClosed) {
      LogIdleClose(outcome, LimitsOf(*context), context->metrics);
      return SessionEnd::kClose;
    }
    const bool is_request = outcome.result == RequestReadStatus::kRequest;
    AnswerSender answer(connection,
                        is_request && outcome.request.method == "HEAD");
    if (!is_request || !outcome.request.keeps_connection ||
        context->is_stopping) {
      answer.SetConnectionClose();
    }
    if (is_request && !outcome.request.accepts_chunks) {
      answer.DisableChunks();
    }
    if (!is_request) {
      RefuseRequest(outcome, &answer);
    } else if (!HandleRequest(context, &outcome, connection, waiter, &answer,
                              yield)) {
      return EndForIncomplete(answer);
    }
    if (answer.ClosesConnection()) {
      return SessionEnd::kLinger;
    }
  }
}

}  // namespace

void ServeCaller(EntryContext* context,
                 const ConnectionPtr& connection,
                 Waiter* waiter,
                 Coroutine yield) {
  connection->SetWaiter(waiter);
  ContainFailure(context->loop, "session", [&] {
    switch (ServeRequests(context, connection.get(), waiter, yield)) {
      case SessionEnd::kClose:
        break;
      case SessionEnd::kLinger:
        Linger(context, connection.get(), waiter, yield);
        break;
      case SessionEnd::kReset:
        WaitUntilSent(context, connection.get(), waiter, yield);
        break;
    }
  });
  connection->SetWaiter(nullptr);
  connection->Close();
}

}  // namespace kumquatcart
