#include "net/tcp_connection.h"

#include <netinet/tcp.h>

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "net/failure_boundary.h"
#include "net/net_constants.h"

namespace kumquatcart {

namespace {

using boost::asio::ip::tcp;
using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

TcpConnection::TcpConnection(EventLoop* loop)
    : loop(loop), socket(loop->Context()) {}

TcpConnection::~TcpConnection() {
  // The socket's own destructor does not reset.
  this->Close();
}

std::shared_ptr<TcpConnection> TcpConnection::Adopt(EventLoop* loop,
                                                    tcp::socket socket) {
  auto connection = std::make_shared<TcpConnection>(loop);
  connection->socket = std::move(socket);
  connection->Start();
  return connection;
}

bool TcpConnection::Connect(const TcpEndpoint& endpoint,
                            MonotonicTime deadline,
                            Waiter* waiter,
                            Coroutine yield) {
  this->waiter = waiter;
  bool done = false;
  boost::system::error_code result;
  this->socket.async_connect(
      endpoint, [self = this->shared_from_this(), &done,
                 &result](const boost::system::error_code& error) {
        if (self->closed) {
          return;  // Connect has returned; `done` and `result` are dangling.
        }
        done = true;
        result = error;
        self->NotifyWaiter();
      });
  while (!done) {
    if (!waiter->WaitUntil(deadline, yield) && !done) {
      this->Close();
      return false;
    }
  }
  if (result) {
    this->Close();
    return false;
  }
  this->Start();
  return true;
}

void TcpConnection::Start() {
  // Errors are not fatal: the options only tune the connection.
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->socket.set_option(
      UserTimeout(static_cast<int>(kTcpUserTimeout.count())), ignored);
  this->socket.non_blocking(true, ignored);
  this->last_input = this->loop->Now();
  this->WaitForInput();
}

void TcpConnection::WaitForInput() {
  if (this->reading || this->ended) {
    return;
  }
  this->reading = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const boost::system::error_code& e) {
        self->reading = false;
        if (self->ended) {
          return;
        }
        if (e) {
          self->MarkEnded(/*by_error=*/true);
          return;
        }
        if (!ContainFailure(self->loop, "input",
                            [&self] { self->ReadInput(); })) {
          self->MarkEnded(/*by_error=*/true);
        }
      });
}

bool TcpConnection::ReadInput() {
  static thread_local std::array<char, kReadChunkBytes> chunk;
  boost::system::error_code error;
  const std::size_t count =
      this->socket.read_some(boost::asio::buffer(chunk), error);
  if (error == boost::asio::error::would_block ||
      error == boost::asio::error::interrupted) {
    this->WaitForInput();
    return false;
  }
  if (error) {
    this->MarkEnded(/*by_error=*/error != boost::asio::error::eof);
    return false;
  }
  this->input.append(chunk.data(), count);
  this->UpdateLease();
  this->last_input = this->loop->Now();
  if (this->input.size() - this->consumed < this->read_pause_bytes) {
    this->WaitForInput();
  }
  this->NotifyWaiter();
  return true;
}

bool TcpConnection::PollEnded() {
  while (!this->ended && this->Input().size() < this->read_pause_bytes &&
         this->ReadInput()) {
  }
  return this->ended;
}

bool TcpConnection::ReadPending() {
  if (!this->ended && this->Input().empty()) {
    this->ReadInput();
  }
  return !this->Input().empty();
}

void TcpConnection::Consume(std::size_t count) {
  this->consumed += count;
  if (this->consumed == this->input.size()) {
    this->input.clear();
    if (this->input.capacity() > kMaxIdleInputBytes) {
      this->input.shrink_to_fit();
    }
    this->consumed = 0;
  } else if (this->consumed > kReadChunkBytes) {
    this->input.erase(0, this->consumed);
    this->consumed = 0;
  }
  this->UpdateLease();
  if (this->input.size() - this->consumed < this->read_pause_bytes) {
    this->WaitForInput();
  }
}

void TcpConnection::Send(std::string bytes) {
  if (this->closed || this->failed) {
    return;
  }
  const std::size_t size = bytes.size();
  if (this->queued.empty()) {
    this->queued = std::move(bytes);
  } else {
    this->queued += bytes;
  }
  this->unsent += size;
  this->UpdateLease();
  this->WriteNext();
}

void TcpConnection::WriteNext() {
  if (this->write_in_progress || this->closed) {
    return;
  }
  if (this->queued.empty()) {
    if (this->finish_after_writes) {
      this->SetResetOnClose(false);
      boost::system::error_code ignored;  // The peer may have disconnected.
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    return;
  }
  this->writing = std::move(this->queued);
  this->queued.clear();
  this->write_in_progress = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->writing),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t count) -> std::size_t {
        // The handler below runs only once all bytes are written.
        self->sent_any = self->sent_any || count > 0;
        return error ? 0 : kWriteChunkBytes;
      },
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t count) {
        self->write_in_progress = false;
        self->sent_any = self->sent_any || count > 0;
        if (error) {
          self->MarkEnded(/*by_error=*/true);
          return;
        }
        self->unsent -= self->writing.size();
        // An idle connection holds no memory. An assignment would keep it.
        std::string().swap(self->writing);
        self->UpdateLease();
        self->WriteNext();
        if (self->unsent == 0) {
          self->NotifyWaiter();
        }
      });
}

void TcpConnection::FinishSending() {
  this->finish_after_writes = true;
  this->WriteNext();
}

void TcpConnection::MarkEnded(bool by_error) {
  if (this->ended && !by_error) {
    return;
  }
  this->ended = true;
  this->failed = this->failed || by_error;
  this->NotifyWaiter();
}

void TcpConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->ended = true;
  boost::system::error_code ignored;  // Close is final even on error.
  this->socket.close(ignored);
}

void TcpConnection::Abort() {
  this->Close();
  this->MarkEnded(/*by_error=*/true);
}

void TcpConnection::SetResetOnClose(bool resets) {
  if (this->resets_on_close == resets) {
    return;
  }
  this->resets_on_close = resets;
  boost::system::error_code ignored;  // The connection may have failed.
  this->socket.set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

void TcpConnection::CountIn(MemoryBudget* budget,
                            MemoryUse use,
                            std::size_t base_bytes) {
  this->lease = MemoryLease(budget, use);
  this->base_bytes = base_bytes;
  this->UpdateLease();
}

void TcpConnection::UpdateLease() {
  this->lease.Set(this->base_bytes + this->input.capacity() + this->unsent);
}

void TcpConnection::NotifyWaiter() {
  if (this->waiter != nullptr) {
    this->waiter->Notify();
  }
}

}  // namespace kumquatcart
