#include "gateway/request_reader.h"

#include <exception>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include <cpprest/streams.h>
#include <fmt/format.h>

namespace kumquatcart {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;

Error TooLong(std::size_t max_bytes) {
  return MakeError(ErrorCode::kExhausted,
                   fmt::format("body: is longer than {} bytes", max_bytes));
}

Error CallerLeft() {
  return MakeError(ErrorCode::kCancelled, "body: the caller left");
}

// Reads a body of unannounced length piece by piece.
class ChunkedBodyReader
    : public std::enable_shared_from_this<ChunkedBodyReader> {
 public:
  ChunkedBodyReader(const web::http::http_request& request,
                    std::size_t max_bytes,
                    std::function<void(Result<std::string>)> done)
      : request(request),
        source(request.body().streambuf()),
        max_bytes(max_bytes),
        done(std::move(done)),
        piece(kReadBytes) {}

  void Read() {
    const auto self = this->shared_from_this();
    this->source.getn(this->piece.data(), this->piece.size())
        .then([self](const pplx::task<std::size_t>& read) {
          self->HandlePiece(read);
        });
  }

 private:
  void HandlePiece(const pplx::task<std::size_t>& read) {
    std::size_t count = 0;
    try {
      count = read.get();
    } catch (...) {
      this->done(CallerLeft());
      return;
    }
    if (count == 0) {
      this->done(std::move(this->body));
      return;
    }
    this->body.append(this->piece.begin(),
                      this->piece.begin() + static_cast<std::ptrdiff_t>(count));
    if (this->body.size() <= this->max_bytes) {
      this->Read();
      return;
    }
    this->StopReading();
    this->done(TooLong(this->max_bytes));
  }

  // Makes the HTTP library stop reading the rest into memory.
  void StopReading() {
    const auto too_long =
        std::make_exception_ptr(std::runtime_error("body too long"));
    this->source.close(std::ios_base::out, too_long)
        .then([](const pplx::task<void>& closed) {
          try {
            closed.get();
          } catch (...) {
            // The exception given to close comes back here.
          }
        });
  }

  const web::http::http_request request;
  concurrency::streams::streambuf<std::uint8_t> source;
  const std::size_t max_bytes;
  const std::function<void(Result<std::string>)> done;
  std::vector<std::uint8_t> piece;
  std::string body;
};

}  // namespace

HttpHeaders CopyHeaders(const web::http::http_headers& headers) {
  HttpHeaders copied;
  copied.reserve(headers.size());
  for (const auto& [name, value] : headers) {
    copied.push_back(HttpHeader{name, value});
  }
  return copied;
}

std::size_t HeaderBytes(const HttpHeaders& headers) {
  std::size_t bytes = 0;
  for (const HttpHeader& header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

void ReadBody(const web::http::http_request& request,
              std::size_t max_bytes,
              std::function<void(Result<std::string>)> done) {
  if (request.headers().has("Transfer-Encoding")) {
    std::make_shared<ChunkedBodyReader>(request, max_bytes, std::move(done))
        ->Read();
    return;
  }
  if (request.headers().content_length() > max_bytes) {
    done(TooLong(max_bytes));
    return;
  }
  request.extract_vector().then(
      [done = std::move(done)](
          const pplx::task<std::vector<unsigned char>>& read) {
        std::string body;
        try {
          const std::vector<unsigned char> bytes = read.get();
          body.assign(bytes.begin(), bytes.end());
        } catch (...) {
          done(CallerLeft());
          return;
        }
        done(std::move(body));
      });
}

}  // namespace kumquatcart
