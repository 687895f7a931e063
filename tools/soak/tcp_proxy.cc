#include "soak/tcp_proxy.h"

namespace kumquatcart::soak {

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(60);
constexpr int kShortestAnswerDelayMs = 300;
constexpr int kLongestAnswerDelayMs = 900;
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// How often a connection looks whether the state of the link has changed.
constexpr Duration kLook = std::chrono::milliseconds(20);

}  // namespace

const char* ToString(LinkState state) {
  constexpr const char* kNames[] = {"sound",       "delayed",       "refused",
                                    "silent",      "silent_back",   "slow",
                                    "silent_open", "silent_refused"};
  return kNames[static_cast<int>(state)];
}

TcpProxy::TcpProxy(EventLoop* loop, TcpEndpoint target)
    : loop(loop),
      target(std::move(target)),
      listener(loop, [this](boost::asio::ip::tcp::socket socket) {
        this->Accept(std::move(socket));
      }) {}

void TcpProxy::SetState(LinkState next) {
  this->open_silences += SilencesOpen(next) ? 1 : 0;
  // What ends here harms open connections only, and those for good.
  const bool ends_open_silence =
      this->state == LinkState::kSilentOpen && next == LinkState::kSound;
  this->state = next;
  if (!ends_open_silence) {
    this->changed_at = this->loop->Now();
  }
}

void TcpProxy::SetTarget(const TcpEndpoint& next) {
  this->target = next;
  ++this->targets;
}

void TcpProxy::Accept(boost::asio::ip::tcp::socket socket) {
  const ConnectionRef near =
      TcpConnection::Adopt(this->loop, std::move(socket));
  if (this->state == LinkState::kRefused ||
      this->state == LinkState::kSilentRefused) {
    near->Close();
    return;
  }
  this->loop->Spawn(
      [this, near](Coroutine yield) { this->Relay(near, yield); });
}

bool TcpProxy::Pass(TcpConnection* from, TcpConnection* to, Coroutine yield) {
  if (from->Input().empty()) {
    return false;
  }
  if (this->state == LinkState::kDelayed) {
    this->loop->Sleep(kDelay, yield);
  }
  std::string bytes(from->Input());
  from->Consume(bytes.size());
  to->Send(std::move(bytes));
  return true;
}

void TcpProxy::PassBoth(TcpConnection* near,
                        TcpConnection* far,
                        bool* is_asked,
                        Coroutine yield) {
  *is_asked = this->Pass(near, far, yield) || *is_asked;
  if (this->state == LinkState::kSilentBack || far->Input().empty()) {
    return;
  }
  if (this->state == LinkState::kSlow && *is_asked) {
    this->loop->Sleep(
        std::chrono::milliseconds(std::uniform_int_distribution<int>(
            kShortestAnswerDelayMs,
            kLongestAnswerDelayMs)(this->answer_delays)),
        yield);
  }
  *is_asked = false;
  this->Pass(far, near, yield);
}

void TcpProxy::Relay(const ConnectionRef& near, Coroutine yield) {
  Waiter waiter(this->loop);
  const auto far = std::make_shared<TcpConnection>(this->loop);
  near->SetWaiter(&waiter);
  while (this->state == LinkState::kSilent) {
    this->loop->Sleep(kLook, yield);
  }
  const int generation = this->targets;
  const int silences_before = this->open_silences;
  bool is_asked = false;
  bool open = far->Connect(this->target, this->loop->Now() + kConnectTimeout,
                           &waiter, yield);
  while (open) {
    if (silences_before != this->open_silences) {
      open = !near->HasEnded();
    } else if (this->state == LinkState::kRefused ||
               generation != this->targets) {
      break;
    } else if (this->state != LinkState::kSilent) {
      this->PassBoth(near.get(), far.get(), &is_asked, yield);
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
