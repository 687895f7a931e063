#include "entry/simple_http_server.h"

#include <vector>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/loopback_acceptor.h"

namespace kumquatcart {
namespace {

// Guards against connections that are reset because they were established, with
// a request already sent, but not yet accepted when a stop closed the listener.
TEST_CASE("A listener that stops accepts the connections of its backlog") {
  constexpr std::size_t kConnections = 20;
  EventLoop loop;
  int accepted = 0;
  TcpListener listener(&loop, [&](const auto&) { ++accepted; });
  const TcpEndpoint address =
      ListenOnFreePort(&loop.Context()).local_endpoint();
  REQUIRE(listener.Start(address).has_value());
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.emplace_back(loop.Context());
    callers.back().connect(address);
  }
  listener.Stop();
  RunCoroutine(&loop, [&](Coroutine yield) {
    loop.Sleep(std::chrono::milliseconds(20), yield);
  });
  CHECK(accepted == kConnections);
  boost::system::error_code error;
  boost::asio::ip::tcp::socket late(loop.Context());
  late.connect(address, error);
  CHECK(error);
}

}  // namespace
}  // namespace kumquatcart
