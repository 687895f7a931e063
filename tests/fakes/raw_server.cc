#include "fakes/raw_server.h"

#include <cstdlib>
#include <utility>

#include "fakes/loopback_acceptor.h"

namespace kumquatcart {

namespace {

using boost::asio::ip::tcp;

constexpr char kLoopback[] = "127.0.0.1";
constexpr std::size_t kReadBytes = 4096;
constexpr int kSmallBufferBytes = 4096;

boost::asio::io_context& ClientContext() {
  static boost::asio::io_context io;
  return io;
}

std::size_t ContentLength(const std::string& head) {
  const std::string name = "Content-Length:";
  const std::size_t at = head.find(name);
  return at == std::string::npos
             ? 0
             : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace

RawConnection::RawConnection(tcp::socket socket) : socket(std::move(socket)) {}

std::unique_ptr<RawConnection> RawConnection::Connect(std::uint16_t port) {
  tcp::socket socket(ClientContext());
  socket.connect(tcp::endpoint(boost::asio::ip::make_address(kLoopback), port));
  return std::make_unique<RawConnection>(std::move(socket));
}

std::string RawConnection::ReadMessage() {
  const std::string head = this->ReadUntil("\r\n\r\n");
  std::string body;
  const std::size_t length = ContentLength(head);
  while (this->received.size() < length) {
    char bytes[kReadBytes];
    boost::system::error_code error;
    const std::size_t count =
        this->socket.read_some(boost::asio::buffer(bytes), error);
    if (error) {
      break;
    }
    this->received.append(bytes, count);
  }
  body = this->received.substr(0, length);
  this->received.erase(0, length);
  return head + body;
}

std::string RawConnection::ReadUntil(const std::string& text) {
  std::size_t at = this->received.find(text);
  while (at == std::string::npos) {
    char bytes[kReadBytes];
    boost::system::error_code error;
    const std::size_t count =
        this->socket.read_some(boost::asio::buffer(bytes), error);
    if (error) {
      return std::exchange(this->received, std::string());
    }
    this->received.append(bytes, count);
    at = this->received.find(text);
  }
  std::string read = this->received.substr(0, at + text.size());
  this->received.erase(0, at + text.size());
  return read;
}

std::string RawConnection::ReadToEnd() {
  // No text holds this byte sequence twice over, so that the end is the close.
  const std::string never("\0\0\0\0never\0\0\0\0", 13);
  return this->ReadUntil(never);
}

bool RawConnection::Write(const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  return !error;
}

void RawConnection::Close(bool reset) {
  boost::system::error_code ignored;
  if (reset) {
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  } else {
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
  this->socket.close(ignored);
}

void RawConnection::ShrinkBuffers() {
  this->socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kSmallBufferBytes));
  this->socket.set_option(
      boost::asio::socket_base::send_buffer_size(kSmallBufferBytes));
}

void RawConnection::Interrupt() {
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

RawServer::RawServer(Serve serve)
    : serve(std::move(serve)), acceptor(ListenOnFreePort(&this->io)) {
  this->accept_thread = std::thread([this] { this->Accept(); });
}

RawServer::~RawServer() {
  this->Stop();
}

void RawServer::Stop() {
  if (!this->accept_thread.joinable()) {
    return;
  }
  this->stopping = true;
  // Wakes the accepting thread.
  RawConnection::Connect(this->Address().port);
  this->accept_thread.join();
  for (const auto& connection : this->accepted) {
    connection->Interrupt();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

Endpoint RawServer::Address() const {
  return Endpoint{kLoopback, this->acceptor.local_endpoint().port()};
}

void RawServer::Accept() {
  while (true) {
    tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    if (this->stopping) {
      return;
    }
    const int number = ++this->connections;
    this->accepted.push_back(
        std::make_unique<RawConnection>(std::move(socket)));
    RawConnection* const connection = this->accepted.back().get();
    this->threads.emplace_back([this, number, connection] {
      this->serve(connection, number);
      connection->Interrupt();
    });
  }
}

RefusingEndpoint::RefusingEndpoint() : bound(this->io, tcp::v4()) {
  this->bound.bind(tcp::endpoint(boost::asio::ip::make_address(kLoopback), 0));
}

Endpoint RefusingEndpoint::Address() const {
  return Endpoint{kLoopback, this->bound.local_endpoint().port()};
}

std::uint16_t PickFreePort() {
  return ListenOnFreePort(&ClientContext()).local_endpoint().port();
}

}  // namespace kumquatcart
