// Callers' requests and servers' answers, as header fields.
#ifndef PLATFORM_CALLER_CODEC_H_
#define PLATFORM_CALLER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/outcome.h"
#include "model/caller_request.h"
#include "net/http_head.h"
#include "net/response_parser.h"

namespace kumquatcart {

// Decodes a request whose framing was already read. Errors: kInvalidArgument
// for a request that no server could be given. Thread safe.
Result<CallerRequest> DecodeCallerRequest(std::string method,
                                          const std::string& target,
                                          const HeaderList& headers,
                                          std::string body);

// What one send adds to the caller's request.
struct SendFacts {
  std::string server_id;     // Any other server refuses the request.
  std::string organisation;  // Empty: the route needs no key.
  Duration remaining{0};     // Time that the server may take.
  std::optional<std::int64_t> resume_after;  // Continue after this event.
  bool is_late = false;  // Others go before it at the server.

  auto Tie() const {
    return std::tie(this->server_id, this->organisation, this->remaining,
                    this->resume_after, this->is_late);
  }
};

// The request as a server gets it. Thread safe.
OutgoingRequest EncodeForServer(const CallerRequest& request,
                                const SendFacts& facts);

// What the head of a server's answer says.
struct ServerAnswerHead {
  int status = 0;
  std::string request_id;        // The request that is answered.
  bool is_signed = false;        // Bears the server's signature.
  bool not_run = false;          // The server states that it did not run it.
  bool is_encoded = false;       // Not the server's own body.
  bool is_event_stream = false;  // A series of events, or of unknown type.
  std::string suspected_server;  // Empty: none is named.
  Duration idle_limit{0};        // How long the connection may stay idle.
  // Requests per second that the server accepts from all VMs together; none:
  // it names no limit.
  std::optional<double> rate_limit;
  bool has_invalid_rate_limit = false;  // It names one that is not a rate.
  // Time in which the server, which rejects the request, wants no further ones
  // from this VM; none: it names no time, or zero.
  std::optional<Duration> backoff;
  bool has_invalid_backoff = false;  // It names one that is not a time.
  bool is_leaving = false;           // The server takes no new work.

  auto Tie() const {
    return std::tie(this->status, this->request_id, this->is_signed,
                    this->not_run, this->is_encoded, this->is_event_stream,
                    this->suspected_server, this->idle_limit, this->rate_limit,
                    this->has_invalid_rate_limit, this->backoff,
                    this->has_invalid_backoff, this->is_leaving);
  }
};

// Precondition: `response.HasHead()`. Thread safe.
ServerAnswerHead DecodeAnswerHead(const ResponseParser& response);

// The answer's fields that go on to the caller. Thread safe.
HeaderList ForwardedAnswerFields(const ResponseParser& response);

// Fields of an answer of our own. `retry_after` of zero gives none. Thread
// safe.
HeaderList OwnAnswerFields(const std::string& request_id, Duration retry_after);

}  // namespace kumquatcart

#endif  // PLATFORM_CALLER_CODEC_H_
