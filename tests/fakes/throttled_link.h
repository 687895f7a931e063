// A network link of limited bandwidth in front of a server.
#ifndef FAKES_THROTTLED_LINK_H_
#define FAKES_THROTTLED_LINK_H_

#include <memory>
#include <string>

#include "fakes/loop_server.h"

namespace kumquatcart {

// Forwards connections to a server. All responses share `bytes_per_second`
// evenly; requests are not limited.
class ThrottledLink {
 public:
  ThrottledLink(EventLoop* loop, TcpEndpoint server, double bytes_per_second)
      : loop(loop),
        server(std::move(server)),
        bytes_per_second(bytes_per_second),
        entrance(loop,
                 [this](const std::shared_ptr<TcpConnection>& client,
                        Waiter* waiter,
                        Coroutine yield) {
                   this->Forward(client.get(), waiter, yield);
                   client->Close();
                 }) {}

  TcpEndpoint Address() const { return this->entrance.Address(); }

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(10);

  static void Pass(TcpConnection* from, TcpConnection* to, std::size_t limit) {
    const std::string bytes(from->Input().substr(0, limit));
    if (!bytes.empty()) {
      from->Consume(bytes.size());
      to->Send(bytes);
    }
  }

  // Bytes that one of the current transfers may send in `elapsed`.
  std::size_t Share(Duration elapsed) const {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    return 1 + static_cast<std::size_t>(this->bytes_per_second * seconds /
                                        static_cast<double>(this->transfers));
  }

  void Forward(TcpConnection* client, Waiter* waiter, Coroutine yield) {
    const auto upstream = std::make_shared<TcpConnection>(this->loop);
    bool connected = upstream->Connect(this->server, TestDeadline(this->loop),
                                       waiter, yield);
    while (connected && !client->HasEnded()) {
      Pass(client, upstream.get(), std::string::npos);
      if (upstream->Input().empty()) {
        connected = !upstream->HasEnded();
        if (connected) {
          waiter->WaitUntil(MonotonicTime::max(), yield);
        }
        continue;
      }
      ++this->transfers;
      MonotonicTime passed_at = this->loop->Now();
      while (!upstream->Input().empty() && !client->HasEnded()) {
        this->loop->Sleep(kTick, yield);
        const MonotonicTime now = this->loop->Now();
        Pass(upstream.get(), client, this->Share(now - passed_at));
        passed_at = now;
      }
      --this->transfers;
    }
    upstream->SetWaiter(nullptr);
    upstream->Close();
  }

  EventLoop* const loop;
  const TcpEndpoint server;
  const double bytes_per_second;
  std::size_t transfers = 0;
  LoopServer entrance;
};

}  // namespace kumquatcart

#endif  // FAKES_THROTTLED_LINK_H_
