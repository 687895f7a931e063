#include "entry/simple_http_server.h"

#include "entry/answer_sender.h"
#include "entry/entry_constants.h"
#include "net/failure_boundary.h"

namespace kumquatcart {

namespace {

using boost::asio::ip::tcp;

// Delay after a failed accept, such as when file descriptors run out, and
// between the last answer and the close of a connection.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// Maximum number of pending connections.
constexpr int kListenBacklog = 512;

CallerLimits ServiceLimits() {
  CallerLimits limits;
  limits.body_bytes = kMaxServiceBodyBytes;
  return limits;
}

}  // namespace

TcpListener::TcpListener(EventLoop* loop, Accept accept)
    : loop(loop), accept(std::move(accept)), acceptor(loop->Context()) {}

Status TcpListener::Start(const TcpEndpoint& listen) {
  boost::system::error_code error;
  this->acceptor.open(listen.protocol(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(listen, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return MakeError(ErrorCode::kUnavailable,
                     "cannot open the listening socket: " + error.message());
  }
  this->AcceptNext();
  return Ok();
}

void TcpListener::Stop() {
  this->stopped = true;
  this->AcceptBacklog();
  boost::system::error_code ignored;  // The descriptor is closed in any case.
  this->acceptor.close(ignored);
}

void TcpListener::AcceptBacklog() {
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error && !this->paused) {
    tcp::socket socket(this->loop->Context());
    this->acceptor.accept(socket, error);
    if (!error) {
      this->HandleAccepted(std::move(socket));
    }
  }
}

void TcpListener::HandleAccepted(tcp::socket socket) {
  ContainFailure(this->loop, "accept",
                 [this, &socket] { this->accept(std::move(socket)); });
}

void TcpListener::Resume() {
  this->paused = false;
  if (!this->stopped) {
    this->AcceptNext();
  }
}

void TcpListener::AcceptNext() {
  if (this->accepting || this->paused) {
    return;
  }
  this->accepting = true;
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        this->accepting = false;
        if (!error) {
          this->HandleAccepted(std::move(socket));
        }
        if (this->stopped) {
          return;
        }
        if (!error) {
          this->AcceptNext();
          return;
        }
        this->loop->Spawn([this](Coroutine yield) {
          this->loop->Sleep(kAcceptPause, yield);
          if (!this->stopped) {
            this->AcceptNext();
          }
        });
      });
}

SimpleHttpServer::SimpleHttpServer(EventLoop* loop, Handler handle)
    : loop(loop),
      handle(std::move(handle)),
      listener(loop,
               [this](tcp::socket socket) { this->Serve(std::move(socket)); }) {
}

void SimpleHttpServer::ServeRequests(TcpConnection* connection,
                                     Waiter* waiter,
                                     Coroutine yield) {
  RequestReader reader(this->loop, connection, waiter, ServiceLimits);
  const bool should_close = false;
  for (;;) {
    const RequestReadResult outcome = reader.Read(&should_close, yield);
    if (outcome.result != RequestReadStatus::kRequest) {
      return;
    }
    AnswerSender sender(connection, outcome.request.method == "HEAD");
    const SimpleHttpResponse answer = this->handle(outcome.request, yield);
    sender.SendWhole(answer.status, answer.headers, answer.body);
    if (!outcome.request.keeps_connection) {
      return;
    }
  }
}

void SimpleHttpServer::Serve(tcp::socket socket) {
  const auto connection = TcpConnection::Adopt(this->loop, std::move(socket));
  this->loop->Spawn([this, connection](Coroutine yield) {
    Waiter waiter(this->loop);
    connection->SetWaiter(&waiter);
    ContainFailure(this->loop, "service_request", [&] {
      this->ServeRequests(connection.get(), &waiter, yield);
    });
    connection->FinishSending();
    this->loop->Sleep(kAcceptPause, yield);
    connection->SetWaiter(nullptr);
    connection->Close();
  });
}

}  // namespace kumquatcart
