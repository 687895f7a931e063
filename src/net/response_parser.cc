#include "net/response_parser.h"

#include <cstdint>
#include <limits>

#include "net/http_status.h"
#include "net/net_constants.h"

namespace kumquatcart {

namespace {

// Maximum accepted size of a response head.
constexpr std::uint32_t kResponseHeadLimitBytes = 64 * 1024;

}  // namespace

const char* ToString(ResponseEnd end) {
  constexpr const char* kNames[] = {"open", "framed", "closed", "reset",
                                    "malformed"};
  return kNames[static_cast<int>(end)];
}

ResponseParser::ResponseParser(bool without_body) : without_body(without_body) {
  this->ResetParser();
}

void ResponseParser::ResetParser() {
  this->parser.emplace();
  this->parser->header_limit(kResponseHeadLimitBytes);
  // Without any limit the parser of Boost 1.74 rejects a length whose head
  // arrives alone.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  this->parser->skip(this->without_body);
}

ResponseState ResponseParser::ParseAvailable(TcpConnection* connection) {
  if (this->state != ResponseState::kIncomplete) {
    return this->state;
  }
  this->state = this->ParseInput(connection);
  if (this->state != ResponseState::kIncomplete) {
    this->end = this->state == ResponseState::kComplete
                    ? ResponseEnd::kFramed
                    : ResponseEnd::kMalformed;
    return this->state;
  }
  if (!connection->HasEnded()) {
    return this->state;
  }
  this->end =
      connection->HasFailed() ? ResponseEnd::kReset : ResponseEnd::kClosed;
  this->state = this->IsCompleteAtEndOfInput() ? ResponseState::kComplete
                                               : ResponseState::kParseFailed;
  return this->state;
}

bool ResponseParser::IsCompleteAtEndOfInput() {
  // For empty input the parser reports a complete message.
  if (this->end != ResponseEnd::kClosed || !this->parser->got_some()) {
    return false;
  }
  boost::system::error_code error;
  this->parser->put_eof(error);
  return !error && this->parser->is_done();
}

ResponseState ResponseParser::ParseInput(TcpConnection* connection) {
  while (!connection->Input().empty()) {
    const std::string_view input = connection->Input();
    boost::system::error_code error;
    const std::size_t used = ParseSection(&*this->parser, input, &error);
    connection->Consume(used);
    if (error || !this->HasValidStatus()) {
      return ResponseState::kParseFailed;
    }
    if (this->parser->is_done()) {
      if (IsFinalStatus(this->Status())) {
        return ResponseState::kComplete;
      }
      if (++this->interim_responses > kMaxInterimResponses) {
        return ResponseState::kParseFailed;
      }
      this->ResetParser();  // A 1xx response precedes the final one.
      continue;
    }
    if (used == 0) {
      // With a full buffer no more is read, so the parser cannot proceed.
      return connection->Input().size() < kReadPauseThresholdBytes
                 ? ResponseState::kIncomplete
                 : ResponseState::kParseFailed;
    }
  }
  return ResponseState::kIncomplete;
}

bool ResponseParser::HasValidStatus() const {
  if (!this->parser->is_header_done()) {
    return true;
  }
  const int status = this->Status();
  // No request offers to change the protocol.
  return IsFinalStatus(status) ||
         (status / 100 == 1 && status != kHttpSwitchingProtocols);
}

bool ResponseParser::HasHead() const {
  return this->parser->is_header_done() && IsFinalStatus(this->Status());
}

int ResponseParser::Status() const {
  return static_cast<int>(this->parser->get().result_int());
}

std::string_view ResponseParser::Header(std::string_view name) const {
  const auto value = this->parser->get()[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

HeaderList ResponseParser::Headers() const {
  HeaderList headers;
  for (const auto& field : this->parser->get()) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

bool ResponseParser::IsKeepAlive() const {
  return this->parser->keep_alive();
}

ResponseFraming ResponseParser::Framing() const {
  if (this->without_body) {
    return ResponseFraming::kNone;
  }
  if (this->parser->need_eof()) {
    return ResponseFraming::kConnection;
  }
  if (this->parser->chunked()) {
    return ResponseFraming::kChunked;
  }
  return this->parser->content_length() ? ResponseFraming::kLength
                                        : ResponseFraming::kNone;
}

std::string ResponseParser::TakeBody() {
  std::string body;
  body.swap(this->parser->get().body());
  return body;
}

}  // namespace kumquatcart
