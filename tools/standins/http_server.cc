#include "standins/http_server.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/write.hpp>

namespace kumquatcart::standins {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCondition = boost::system::error_code;

// Longest request body taken, in bytes.
constexpr std::uint64_t kBodyLimitBytes = 16U << 20U;

std::string Serialize(const http::response<http::string_body>& response) {
  std::ostringstream text;
  text << response;
  return text.str();
}

}  // namespace

HttpConnection::HttpConnection(tcp::socket socket, HttpHandler handler)
    : socket(std::move(socket)), handler(std::move(handler)) {}

void HttpConnection::Start() {
  ErrorCondition ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->ReadRequest();
}

void HttpConnection::ReadRequest() {
  this->parser.emplace();
  this->parser->body_limit(kBodyLimitBytes);
  http::async_read(
      this->socket, this->buffer, *this->parser,
      [self = this->shared_from_this()](ErrorCondition error, std::size_t) {
        if (error) {
          self->Abort();
          return;
        }
        self->HandleRequest();
      });
}

void HttpConnection::HandleRequest() {
  const HttpRequest request = this->parser->release();
  this->keep_alive = request.keep_alive();
  this->answering = true;
  ++this->answer_number;
  this->WatchForClose();
  this->handler(request, this->shared_from_this());
}

void HttpConnection::WatchForClose() {
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this(),
       watched = this->answer_number](ErrorCondition error) {
        if (error || !self->answering || watched != self->answer_number) {
          return;
        }
        ErrorCondition failure;
        const bool gone = self->socket.available(failure) == 0 || bool(failure);
        if (gone) {
          self->Abort();
        }
      });
}

void HttpConnection::Reply(int status,
                           std::string body,
                           std::vector<EchoedHeader> headers) {
  http::response<http::string_body> response;
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, "application/json");
  for (const EchoedHeader& header : headers) {
    response.set(header.name, header.value);
  }
  response.keep_alive(this->keep_alive);
  response.body() = std::move(body);
  response.prepare_payload();
  this->Send(Piece{Serialize(response), true});
}

void HttpConnection::BeginLines() {
  this->Send(
      Piece{"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            false});
}

void HttpConnection::SendLine(std::string line) {
  line += '\n';
  this->Send(Piece{fmt::format("{:x}\r\n{}\r\n", line.size(), line), false});
}

void HttpConnection::EndLines() {
  this->Send(Piece{"0\r\n\r\n", true});
}

void HttpConnection::Send(Piece piece) {
  if (!this->IsOpen()) {
    return;
  }
  this->pieces.push_back(std::move(piece));
  if (this->pieces.size() == 1) {
    this->WriteNext();
  }
}

void HttpConnection::WriteNext() {
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->pieces.front().bytes),
      [self = this->shared_from_this()](ErrorCondition error, std::size_t) {
        if (error || self->pieces.empty()) {
          self->Abort();
          return;
        }
        const bool last = self->pieces.front().last;
        self->pieces.pop_front();
        if (last) {
          self->FinishAnswer();
        } else if (!self->pieces.empty()) {
          self->WriteNext();
        }
      });
}

void HttpConnection::FinishAnswer() {
  this->answering = false;
  this->closed_callback = nullptr;
  if (!this->keep_alive) {
    ErrorCondition ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    return;
  }
  this->ReadRequest();
}

void HttpConnection::Abort() {
  ErrorCondition ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void HttpConnection::Close() {
  if (!this->IsOpen()) {
    return;
  }
  ErrorCondition ignored;
  this->socket.close(ignored);
  if (this->closed_callback) {
    const auto callback = std::exchange(this->closed_callback, nullptr);
    callback();
  }
}

void HttpConnection::OnClosed(std::function<void()> callback) {
  this->closed_callback = std::move(callback);
}

HttpServer::HttpServer(boost::asio::io_context* context,
                       Endpoint endpoint,
                       HttpHandler handler)
    : endpoint(std::move(endpoint)),
      handler(std::move(handler)),
      acceptor(*context) {}

HttpServer::~HttpServer() {
  this->Close();
}

Status HttpServer::Open() {
  ErrorCondition error;
  const auto address =
      boost::asio::ip::make_address(this->endpoint.host, error);
  if (error) {
    return MakeError(ErrorCode::kUnavailable, error.message());
  }
  const tcp::endpoint local(address, this->endpoint.port);
  this->acceptor.open(local.protocol(), error);
  this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  this->acceptor.bind(local, error);
  if (!error) {
    this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                          error);
  }
  if (error) {
    return MakeError(ErrorCode::kUnavailable,
                     this->endpoint.ToString() + ": " + error.message());
  }
  this->Accept();
  return Ok();
}

std::uint16_t HttpServer::Port() const {
  return this->acceptor.local_endpoint().port();
}

void HttpServer::Accept() {
  this->acceptor.async_accept([this](ErrorCondition error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      auto connection =
          std::make_shared<HttpConnection>(std::move(socket), this->handler);
      this->connections.erase(
          std::remove_if(this->connections.begin(), this->connections.end(),
                         [](const auto& known) { return known.expired(); }),
          this->connections.end());
      this->connections.push_back(connection);
      connection->Start();
    }
    this->Accept();
  });
}

void HttpServer::Close() {
  ErrorCondition ignored;
  this->acceptor.close(ignored);
  const auto open = std::exchange(this->connections, {});
  for (const std::weak_ptr<HttpConnection>& connection : open) {
    if (const ConnectionPtr held = connection.lock()) {
      held->Abort();
    }
  }
}

}  // namespace kumquatcart::standins
