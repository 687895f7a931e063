// What the incremental parsers of requests and responses share: how a body is
// stored, and how much of a message is parsed at once.
#ifndef NET_MESSAGE_PARSING_H_
#define NET_MESSAGE_PARSING_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include "net/net_constants.h"

namespace kumquatcart {

// Stores a body in a string that grows with the bytes received. The body type
// of the library reserves the announced length beforehand, which a sender can
// set to any number.
struct ReceivedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {  // NOLINT(readability-identifier-naming): set by the library.
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/,
           value_type& body)
        : body(body) {}

    // NOLINTNEXTLINE(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>& /*announced*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming)
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const std::size_t before = this->body.size();
      for (auto part = boost::asio::buffer_sequence_begin(buffers);
           part != boost::asio::buffer_sequence_end(buffers); ++part) {
        const boost::asio::const_buffer bytes = *part;
        this->body.append(static_cast<const char*>(bytes.data()), bytes.size());
      }
      return this->body.size() - before;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body;
  };
};

// Feeds `parser` from the front of `input`, at most to the end of the section
// that has begun: the head, the framing of a chunk, a trailer or a part of the
// body. Returns the number of bytes that were used; without an error, none mean
// that the section needs more input. Sets `error` to `header_limit` if the
// framing or trailer of a chunked body exceeds kMaxChunkFramingBytes, or a
// field exceeds what the library can store. Preconditions: the parser is not
// eager, not done, and has reported no error. Not thread safe.
template <class Parser>
std::size_t ParseSection(Parser* parser,
                         std::string_view input,
                         boost::system::error_code* error) {
  namespace http = boost::beast::http;
  // The library limits the size of heads only.
  const bool is_chunked = parser->is_header_done() && parser->chunked();
  const std::string_view part =
      is_chunked ? input.substr(0, kMaxChunkFramingBytes) : input;
  std::size_t used = 0;
  try {
    used = parser->put(boost::asio::buffer(part.data(), part.size()), *error);
  } catch (const std::length_error&) {
    *error = http::error::header_limit;
    return 0;
  }
  if (*error == http::error::need_more) {
    *error = {};
  }
  if (!*error && used == 0 && is_chunked &&
      part.size() == kMaxChunkFramingBytes) {
    *error = http::error::header_limit;
  }
  return used;
}

}  // namespace kumquatcart

#endif  // NET_MESSAGE_PARSING_H_
