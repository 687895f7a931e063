#include "load/http_call.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "model/request.h"

namespace kumquatcart::load {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Largest answer taken, in bytes.
constexpr std::uint64_t kBodyLimitBytes = 64U << 20U;

// A connection driven step by step by its own io_context, so that each step has
// a time bound.
class Exchange {
 public:
  Exchange(const CallRequest& request,
           const std::function<void(std::string_view)>& on_body)
      : call(request), on_body(on_body), context(1), stream(this->context) {
    this->parser.body_limit(kBodyLimitBytes);
    // An eager parser would report progress only at the end of the message.
    this->parser.eager(false);
  }

  Result<CallAnswer> Run() {
    const error_code connected = this->Connect();
    if (connected) {
      return MakeError(ErrorCode::kUnavailable, connected.message());
    }
    error_code error = this->SendRequest();
    while (!error && !this->parser.is_done()) {
      error = this->ReadSome();
    }
    return this->Answer();
  }

 private:
  template <class Step>
  error_code RunStep(Step step) {
    error_code result;
    this->stream.expires_after(this->call.timeout);
    step([&result](error_code error, std::size_t = 0) { result = error; });
    this->context.restart();
    this->context.run();
    return result;
  }

  error_code Connect() {
    error_code error;
    const auto address =
        boost::asio::ip::make_address(this->call.endpoint.host, error);
    if (error) {
      return error;
    }
    const tcp::endpoint remote(address, this->call.endpoint.port);
    return this->RunStep([&](auto done) {
      this->stream.async_connect(
          remote, [done](error_code failure) mutable { done(failure); });
    });
  }

  error_code SendRequest() {
    http::request<http::string_body> message;
    message.method_string(this->call.method);
    message.target(this->call.target);
    message.set(http::field::host, this->call.endpoint.ToString());
    message.set(http::field::connection, "close");
    for (const CallHeader& header : this->call.headers) {
      message.set(header.name, header.value);
    }
    message.body() = this->call.body;
    message.prepare_payload();
    return this->RunStep(
        [&](auto done) { http::async_write(this->stream, message, done); });
  }

  error_code ReadSome() {
    const error_code error = this->RunStep([&](auto done) {
      http::async_read_some(this->stream, this->buffer, this->parser, done);
    });
    const std::string& body = this->parser.get().body();
    if (body.size() > this->seen) {
      this->seen = body.size();
      this->on_body(body);
    }
    return error;
  }

  CallAnswer Answer() {
    CallAnswer answer;
    answer.whole = this->parser.is_done();
    if (!this->parser.is_header_done()) {
      return answer;
    }
    auto& message = this->parser.get();
    answer.status = message.result_int();
    answer.outcome = std::string(message[kOutcomeHeader]);
    answer.request_id = std::string(message[kRequestIdHeader]);
    answer.body = std::move(message.body());
    return answer;
  }

  const CallRequest& call;
  const std::function<void(std::string_view)>& on_body;
  boost::asio::io_context context;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  std::size_t seen = 0;
};

}  // namespace

Result<CallAnswer> Call(
    const CallRequest& request,
    const std::function<void(std::string_view body)>& on_body) {
  return Exchange(request, on_body).Run();
}

}  // namespace kumquatcart::load
