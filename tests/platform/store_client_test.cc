// Calls to a store, or a relay of it, that repeats earlier answers.
#include "platform/store_client.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

// Answers each append with the offset of its record, counted from 0. Before it,
// sends the former answer of the connection once more, if any.
class RepeatingStore {
 public:
  explicit RepeatingStore(EventLoop* loop)
      : server(loop,
               [this,
                loop](const auto& connection, Waiter* waiter, Coroutine yield) {
                 std::string former;
                 while (!ReadHead(connection.get(), waiter, yield).empty()) {
                   const std::string body =
                       R"({"offset":)" + std::to_string(this->appends) +
                       R"(,"end":)" + std::to_string(this->appends + 1) + "}";
                   ++this->appends;
                   connection->Send(former);
                   // Apart from the former answer, as on a network.
                   loop->Sleep(std::chrono::milliseconds(10), yield);
                   former = "HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body;
                   connection->Send(former);
                 }
               }) {}

  int appends = 0;
  LoopServer server;
};

// Guards against an append that gets the offset of an earlier one, which would
// give two records of groups the same epoch.
TEST_CASE("An append is never answered by the answer to an earlier one") {
  for (const bool uses_relay : {false, true}) {
    CAPTURE(uses_relay);
    EventLoop loop;
    RepeatingStore store(&loop);
    const TcpEndpoint closed = [&loop] {
      return LoopServer(&loop, nullptr).Address();
    }();
    StoreClient client(&loop, uses_relay ? closed : store.server.Address());
    client.SetRelays(
        [&] { return std::vector<TcpEndpoint>{store.server.Address()}; });
    RunCoroutine(&loop, [&](Coroutine yield) {
      for (int i = 0; i < 4; ++i) {
        const Result<std::int64_t> offset =
            client.Append(StoreTopic::kGroups, "g", "1", std::nullopt, yield);
        REQUIRE(offset.has_value());
        CHECK(offset.value() == i);
      }
    });
    CHECK(store.appends == 4);
  }
}

}  // namespace
}  // namespace kumquatcart
