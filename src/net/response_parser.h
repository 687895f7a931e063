// Incremental parser for one HTTP/1.1 response.
#ifndef NET_RESPONSE_PARSER_H_
#define NET_RESPONSE_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/parser.hpp>

#include "net/http_head.h"
#include "net/message_parsing.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

enum class ResponseState {
  kIncomplete,   // More bytes are needed.
  kComplete,     // The message was read in full according to its framing.
  kParseFailed,  // The connection ended early or the bytes are not valid HTTP.
};

// What ended the input of a response.
enum class ResponseEnd {
  kOpen,       // Nothing so far.
  kFramed,     // Its framing: the length was reached or the last chunk read.
  kClosed,     // An orderly close of the connection.
  kReset,      // A failure of the connection.
  kMalformed,  // Bytes that are not valid HTTP, or exceed a limit; a status
               // that is neither interim nor final.
};

// Lower-case name for logs. Thread safe.
const char* ToString(ResponseEnd end);

// Parses a response from the input of a connection. Not thread safe.
class ResponseParser {
 public:
  // `without_body`: the response has no body, as for a HEAD request.
  explicit ResponseParser(bool without_body);

  // Parses the available input of `connection`. Bytes after the end of the
  // message are not consumed.
  ResponseState ParseAvailable(TcpConnection* connection);

  // Whether the head of the final (not interim) response has been parsed.
  bool HasHead() const;

  // Precondition of the next five methods: HasHead().
  int Status() const;
  std::string_view Header(std::string_view name) const;
  HeaderList Headers() const;
  // Whether the connection may be reused after this response.
  bool IsKeepAlive() const;
  ResponseFraming Framing() const;

  ResponseEnd End() const { return this->end; }

  // Number of body bytes that TakeBody would return.
  std::size_t BufferedBodyBytes() const {
    return this->parser->get().body().size();
  }

  // Returns the part of the body parsed since the last call.
  std::string TakeBody();

 private:
  using Parser = boost::beast::http::response_parser<ReceivedBody>;

  void ResetParser();
  ResponseState ParseInput(TcpConnection* connection);
  // Whether the response ends where the connection does. Precondition: `end` is
  // kClosed or kReset.
  bool IsCompleteAtEndOfInput();
  // Whether the status of the head that was parsed can be interim or final.
  bool HasValidStatus() const;

  const bool without_body;
  std::optional<Parser> parser;
  ResponseState state = ResponseState::kIncomplete;
  ResponseEnd end = ResponseEnd::kOpen;
  int interim_responses = 0;
};

}  // namespace kumquatcart

#endif  // NET_RESPONSE_PARSER_H_
