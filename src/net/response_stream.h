// Parses one HTTP/1.1 response as its bytes arrive.
#ifndef NET_RESPONSE_STREAM_H_
#define NET_RESPONSE_STREAM_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/http_head.h"
#include "net/tcp_connection.h"

namespace kumquatcart {

enum class ResponseState {
  kIncomplete,  // More bytes are needed.
  kComplete,    // The whole message was read, as its framing says.
  kBroken,  // The connection ended first, or the bytes are no HTTP response.
};

// Feeds on a connection's input. Not thread safe.
class ResponseStream {
 public:
  // `without_body`: answers a HEAD request.
  explicit ResponseStream(bool without_body);

  // Parses what `connection` has received. Bytes after the message stay there.
  ResponseState Poll(TcpConnection* connection);

  bool HasHead() const;

  // The four below need HasHead().
  int Status() const;
  std::string_view Header(std::string_view name) const;
  HeaderList Headers() const;
  // Whether the connection may carry another request once this is complete.
  bool KeepsConnection() const;

  // Bytes of the body that TakeBody would return.
  std::size_t HeldBytes() const { return this->parser->get().body().size(); }

  // The part of the body that arrived since the last call.
  std::string TakeBody();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Restart();
  ResponseState ParseInput(TcpConnection* connection);

  const bool without_body;
  std::optional<Parser> parser;
  ResponseState state = ResponseState::kIncomplete;
};

}  // namespace kumquatcart

#endif  // NET_RESPONSE_STREAM_H_
