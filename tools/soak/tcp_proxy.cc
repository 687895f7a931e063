#include "soak/tcp_proxy.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(60);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// How often a connection looks whether the state of the link has changed.
constexpr Duration kLook = std::chrono::milliseconds(20);

}  // namespace

const char* ToString(LinkState state) {
  constexpr const char* kNames[] = {"sound", "delayed", "refused", "silent",
                                    "silent_back"};
  return kNames[static_cast<int>(state)];
}

TcpProxy::TcpProxy(EventLoop* loop, TcpEndpoint target)
    : loop(loop),
      target(std::move(target)),
      listener(loop, [this](boost::asio::ip::tcp::socket socket) {
        this->Accept(std::move(socket));
      }) {}

void TcpProxy::SetTarget(const TcpEndpoint& next) {
  this->target = next;
  ++this->targets;
}

void TcpProxy::Accept(boost::asio::ip::tcp::socket socket) {
  const ConnectionRef near =
      TcpConnection::Adopt(this->loop, std::move(socket));
  if (this->state == LinkState::kRefused) {
    near->Close();
    return;
  }
  this->loop->Spawn(
      [this, near](Coroutine yield) { this->Relay(near, yield); });
}

void TcpProxy::Pass(TcpConnection* from, TcpConnection* to, Coroutine yield) {
  if (from->Input().empty()) {
    return;
  }
  if (this->state == LinkState::kDelayed) {
    this->loop->Sleep(kDelay, yield);
  }
  std::string bytes(from->Input());
  from->Consume(bytes.size());
  to->Send(std::move(bytes));
}

void TcpProxy::Relay(const ConnectionRef& near, Coroutine yield) {
  Waiter waiter(this->loop);
  const auto far = std::make_shared<TcpConnection>(this->loop);
  near->SetWaiter(&waiter);
  while (this->state == LinkState::kSilent) {
    this->loop->Sleep(kLook, yield);
  }
  const int generation = this->targets;
  bool open = far->Connect(this->target, this->loop->Now() + kConnectTimeout,
                           &waiter, yield);
  while (open) {
    if (this->state == LinkState::kRefused || generation != this->targets) {
      break;
    }
    if (this->state != LinkState::kSilent) {
      this->Pass(near.get(), far.get(), yield);
      if (this->state != LinkState::kSilentBack) {
        this->Pass(far.get(), near.get(), yield);
      }
      open = !(near->HasEnded() && near->Input().empty()) &&
             !(far->HasEnded() && far->Input().empty());
    }
    if (open) {
      waiter.WaitUntil(this->loop->Now() + kLook, yield);
    }
  }
  // Half-closed ends are closed whole once the last bytes are out.
  const MonotonicTime last = this->loop->Now() + kConnectTimeout;
  while (near->UnsentBytes() > 0 && !near->HasFailed() &&
         this->loop->Now() < last) {
    this->loop->Sleep(kLook, yield);
  }
  near->SetResetOnClose(far->HasFailed());
  far->SetResetOnClose(near->HasFailed());
  for (TcpConnection* end : {near.get(), far.get()}) {
    end->SetWaiter(nullptr);
    end->Close();
  }
}

}  // namespace kumquatcart::soak
