#include "entry/request_reader.h"

#include <algorithm>
#include <optional>

#include <boost/beast/http/parser.hpp>

#include "net/message_parsing.h"

namespace kumquatcart {

namespace {

namespace http = boost::beast::http;
using Parser = http::request_parser<ReceivedBody>;

// Protocol version as the parser states it.
constexpr unsigned kHttp11 = 11;
// Heads that fit into the unconsumed input of a connection.
constexpr std::size_t kHeadsPerReadPause = 2;
constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

RequestReadStatus ClassifyError(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return RequestReadStatus::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return RequestReadStatus::kBodyTooLarge;
  }
  return RequestReadStatus::kBadRequest;
}

// A message with both Content-Length and Transfer-Encoding, with a repeated
// framing field or with a coding other than chunked may be parsed differently
// by the backend server (request smuggling), so it is rejected.
bool HasAmbiguousFraming(const Parser& parser) {
  const auto& head = parser.get();
  if (head.count(http::field::transfer_encoding) == 0) {
    return head.count(http::field::content_length) > 1;
  }
  return head.count(http::field::transfer_encoding) > 1 ||
         head.count(http::field::content_length) > 0 ||
         !EqualsIgnoringCase(std::string(head[http::field::transfer_encoding]),
                             "chunked");
}

// HTTP/1.0 has no interim responses.
bool ExpectsContinue(const Parser& parser) {
  return parser.get().version() >= kHttp11 &&
         EqualsIgnoringCase(std::string(parser.get()[http::field::expect]),
                            "100-continue");
}

// Parses one request incrementally.
class IncrementalParser {
 public:
  IncrementalParser(const CallerLimits& limits, ReadingRequest* reading)
      : reading(reading) {
    this->parser.header_limit(limits.header_bytes);
    this->parser.body_limit(limits.body_bytes);
  }

  // Consumes the input of `connection`. Returns no value while the request is
  // incomplete.
  std::optional<RequestReadStatus> Feed(TcpConnection* connection,
                                        MonotonicTime now) {
    if (this->reading->WasEnded()) {
      return RequestReadStatus::kNoMemory;
    }
    while (!connection->Input().empty() && !this->parser.is_done()) {
      const std::string_view input = connection->Input();
      if (!this->HoldBody(input.size(), now)) {
        return RequestReadStatus::kNoMemory;
      }
      boost::system::error_code error;
      const std::size_t used = ParseSection(&this->parser, input, &error);
      if (!error && used == 0 && input.size() >= connection->ReadPauseBytes()) {
        error = http::error::header_limit;  // No more of the section is read.
      }
      connection->Consume(used);
      if (error) {
        return ClassifyError(error);
      }
      if (used == 0) {
        break;
      }
      this->reading->NoteReceived(this->BodyBytes());
    }
    if (this->parser.is_header_done() && !this->head_checked) {
      this->head_checked = true;
      if (HasAmbiguousFraming(this->parser)) {
        return RequestReadStatus::kBadRequest;
      }
      if (!this->HoldBody(0, now)) {
        return RequestReadStatus::kNoMemory;
      }
      if (ExpectsContinue(this->parser) && !this->parser.is_done()) {
        connection->Send(kContinueResponse);
      }
    }
    return this->parser.is_done() ? std::optional(RequestReadStatus::kRequest)
                                  : std::nullopt;
  }

  // The head, and the body as far as it was received. Precondition: Feed has
  // returned kRequest or kNoMemory.
  ParsedRequest Take() {
    ParsedRequest request;
    auto message = this->parser.release();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    request.accepts_chunks = message.version() >= kHttp11;
    request.keeps_connection = message.keep_alive() && request.accepts_chunks;
    request.body = std::move(message.body());
    return request;
  }

 private:
  std::size_t BodyBytes() const { return this->parser.get().body().size(); }

  // Makes room for the announced body, or for `next_bytes` more of it.
  bool HoldBody(std::size_t next_bytes, MonotonicTime now) {
    if (!this->parser.is_header_done()) {
      return true;
    }
    const auto announced = this->parser.content_length();
    if (!this->reading->Hold(
            announced ? *announced : this->BodyBytes() + next_bytes, now)) {
      return false;
    }
    if (announced) {
      this->parser.get().body().reserve(*announced);
    }
    return true;
  }

  ReadingRequest* const reading;
  Parser parser;
  bool head_checked = false;
};

}  // namespace

const char* ToString(IdleCloseCause cause) {
  constexpr const char* kNames[] = {"caller", "idle_timeout", "stop"};
  return kNames[static_cast<int>(cause)];
}

bool RequestReader::HasRequestInput() {
  constexpr std::string_view kLineEnd = "\r\n";
  if (!this->has_dropped_line &&
      this->connection->Input().substr(0, kLineEnd.size()) == kLineEnd) {
    this->has_dropped_line = true;
    this->connection->Consume(kLineEnd.size());
  }
  const std::string_view input = this->connection->Input();
  const bool may_be_empty_line =
      !this->has_dropped_line && input == kLineEnd.substr(0, 1);
  return !input.empty() && !may_be_empty_line;
}

std::optional<IdleCloseCause> RequestReader::WaitForFirstByte(
    const bool* should_close,
    Coroutine yield) {
  MonotonicTime idle_since = this->loop->Now();
  MonotonicTime deadline = idle_since;
  bool was_sending = false;
  this->has_dropped_line = false;
  while (!this->HasRequestInput()) {
    // The caller becomes idle when it has the last answer.
    const bool is_sending = this->connection->UnsentBytes() > 0;
    if (is_sending || was_sending) {
      idle_since = this->loop->Now();
    }
    was_sending = is_sending;
    deadline = std::max(deadline, idle_since + this->limits().idle_timeout);
    const bool must_close =
        !is_sending && (*should_close || this->loop->Now() >= deadline);
    if (must_close && this->connection->ReadPending() &&
        this->HasRequestInput()) {
      break;
    }
    if (this->connection->HasEnded()) {
      return IdleCloseCause::kCaller;
    }
    if (must_close) {
      return *should_close ? IdleCloseCause::kStop
                           : IdleCloseCause::kIdleTimeout;
    }
    this->waiter->WaitUntil(deadline, yield);
  }
  return std::nullopt;
}

RequestReadResult RequestReader::Read(const bool* should_close,
                                      Coroutine yield) {
  RequestReadResult outcome;
  const MonotonicTime idle_since = this->loop->Now();
  const std::optional<IdleCloseCause> close_cause =
      this->WaitForFirstByte(should_close, yield);
  if (close_cause) {
    outcome.cause = *close_cause;
    outcome.idle_time = this->loop->Now() - idle_since;
    return outcome;
  }
  const CallerLimits limits = this->limits();
  outcome.received_at = std::max(this->connection->LastInput(),
                                 this->loop->Now() - limits.header_timeout);
  const MonotonicTime deadline = outcome.received_at + limits.header_timeout;
  this->connection->SetReadPause(std::max(
      kReadChunkBytes, kHeadsPerReadPause * std::size_t{limits.header_bytes}));
  ReadingRequest reading(this->memory, outcome.received_at, this->waiter);
  IncrementalParser parser(limits, &reading);
  for (;;) {
    const std::optional<RequestReadStatus> result =
        parser.Feed(this->connection, this->loop->Now());
    if (result) {
      outcome.result = *result;
      if (*result == RequestReadStatus::kRequest) {
        outcome.request = parser.Take();
        outcome.memory = reading.TakeLease();
      } else if (*result == RequestReadStatus::kNoMemory) {
        outcome.request = parser.Take();
        outcome.request.body = std::string();
      }
      return outcome;
    }
    if (this->connection->HasEnded()) {
      outcome.result = RequestReadStatus::kClosed;
      return outcome;
    }
    if (!this->waiter->WaitUntil(deadline, yield)) {
      outcome.result = RequestReadStatus::kTimedOut;
      return outcome;
    }
  }
}

}  // namespace kumquatcart
