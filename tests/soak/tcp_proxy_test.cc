// How the soak's proxy harms answers.
#include "soak/tcp_proxy.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "soak/loopback.h"

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortestDelay = milliseconds(300);
constexpr Duration kLongestDelay = milliseconds(900);
// Pieces go on to come for some time after the longest delay.
constexpr Duration kPieceInterval = milliseconds(60);
constexpr int kPieces = 25;
constexpr Duration kPatience = milliseconds(3000);
constexpr char kRequest[] = "GET / HTTP/1.1\r\n\r\n";
constexpr char kPiece = '.';

// A proxy before a server that answers each request in pieces.
class ProxiedServer {
 public:
  ProxiedServer()
      : server(&this->loop,
               [this](const std::shared_ptr<TcpConnection>& connection,
                      Waiter* waiter,
                      Coroutine yield) {
                 this->Answer(connection.get(), waiter, yield);
               }),
        proxy(&this->loop, this->server.Address()),
        address(FreeLoopbackAddress(&this->loop, kPlatformHost)) {
    REQUIRE(this->proxy.Start(this->address).has_value());
  }

  EventLoop loop;
  LoopServer server;
  TcpProxy proxy;
  const TcpEndpoint address;

 private:
  void Answer(TcpConnection* connection, Waiter* waiter, Coroutine yield) {
    while (!connection->HasEnded()) {
      if (ReadHead(connection, waiter, yield).empty()) {
        return;
      }
      for (int i = 0; i < kPieces; ++i) {
        connection->Send(std::string(1, kPiece));
        this->loop.Sleep(kPieceInterval, yield);
      }
    }
  }
};

// One connection through the proxy.
class Client {
 public:
  Client(ProxiedServer* parts, Coroutine yield)
      : loop(&parts->loop),
        connection(std::make_shared<TcpConnection>(&parts->loop)),
        waiter(&parts->loop) {
    REQUIRE(this->connection->Connect(parts->address, TestDeadline(this->loop),
                                      &this->waiter, yield));
  }
  ~Client() {
    this->connection->SetWaiter(nullptr);
    this->connection->Close();
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Time from a request until its answer begins; at most `patience`.
  Duration Ask(Duration patience, Coroutine yield) {
    this->connection->Consume(this->connection->Input().size());
    this->connection->Send(kRequest);
    const MonotonicTime sent_at = this->loop->Now();
    this->WaitForMore(0, patience, yield);
    return this->loop->Now() - sent_at;
  }
  // The longest time between two pieces of the rest of an answer.
  Duration ReadRest(Coroutine yield) {
    Duration longest{0};
    while (this->connection->Input().size() < kPieces && longest < kPatience) {
      const MonotonicTime before = this->loop->Now();
      this->WaitForMore(this->connection->Input().size(), kPatience, yield);
      longest = std::max(longest, this->loop->Now() - before);
    }
    return longest;
  }
  bool HasInput() const { return !this->connection->Input().empty(); }

 private:
  void WaitForMore(std::size_t than, Duration patience, Coroutine yield) {
    const MonotonicTime until = this->loop->Now() + patience;
    while (this->connection->Input().size() <= than &&
           this->waiter.WaitUntil(until, yield)) {
    }
  }

  EventLoop* const loop;
  const std::shared_ptr<TcpConnection> connection;
  Waiter waiter;
};

TEST_CASE("A slow link delays each answer once, however many pieces it has") {
  ProxiedServer parts;
  RunCoroutine(&parts.loop, [&](Coroutine yield) {
    Client client(&parts, yield);
    parts.proxy.SetState(LinkState::kSlow);
    CHECK_FALSE(parts.proxy.SoundSince());
    for (int i = 0; i < 2; ++i) {
      const Duration delay = client.Ask(kPatience, yield);
      CHECK(delay >= kShortestDelay);
      CHECK(delay < kLongestDelay + kShortestDelay);
      CHECK(client.ReadRest(yield) < kShortestDelay);
      parts.loop.Sleep(kPieceInterval, yield);
    }
  });
  parts.loop.UnwindCoroutines();
}

TEST_CASE("Open connections that are silenced stay so, new ones are sound") {
  ProxiedServer parts;
  RunCoroutine(&parts.loop, [&](Coroutine yield) {
    Client open(&parts, yield);
    CHECK(open.Ask(kPatience, yield) < kShortestDelay);
    open.ReadRest(yield);
    parts.proxy.SetState(LinkState::kSilentOpen);
    const auto sound_since = parts.proxy.SoundSince();
    REQUIRE(sound_since);
    Client next(&parts, yield);
    CHECK(next.Ask(kPatience, yield) < kShortestDelay);
    parts.proxy.SetState(LinkState::kSound);
    CHECK(parts.proxy.SoundSince() == sound_since);
    open.Ask(kLongestDelay, yield);
    CHECK_FALSE(open.HasInput());
  });
  parts.loop.UnwindCoroutines();
}

}  // namespace
}  // namespace kumquatcart::soak
