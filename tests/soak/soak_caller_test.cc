// What a caller of the soak makes of a connection that ends without an answer.
#include "soak/soak_caller.h"

#include <array>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "soak/loopback.h"

namespace kumquatcart::soak {
namespace {

using boost::asio::ip::tcp;

// Sends one request to a server that closes the connection at once, or once it
// has read it, and returns what the ledger accuses it of. With `blocks`, the
// close has arrived at the caller when it sends.
std::vector<std::string> AskOnce(bool reads, bool blocks) {
  EventLoop loop;
  tcp::acceptor acceptor = ListenOnFreePort(&loop, kServersHost);
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    std::array<char, 4096> bytes;
    if (reads) {
      socket.read_some(boost::asio::buffer(bytes));
    }
  });
  RunLedger ledger;
  int rounds = 0;
  CallerRules rules;
  rules.pick = [&] {
    if (blocks) {
      boost::asio::post(loop.Context(), [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      });
    }
    return acceptor.local_endpoint();
  };
  rules.goes_on = [&] { return rounds++ == 0; };
  rules.notes_closes = true;
  SoakCaller caller(&loop, &ledger, "c", 1, rules);
  loop.Spawn([&](Coroutine yield) {
    caller.Run(yield);
    loop.Stop();
  });
  loop.Run();
  server.join();
  loop.UnwindCoroutines();
  CHECK(caller.Asked() == 1);
  return ledger.Judge();
}

TEST_CASE("A server that reads a request and closes in order is accused") {
  CHECK(AskOnce(true, false).size() == 1);
}

TEST_CASE("A server that closes without reading the request is not accused") {
  CHECK(AskOnce(false, false).empty());
}

// The caller reads an orderly end then, although its request was reset.
TEST_CASE("A server whose close crosses the request is not accused") {
  CHECK(AskOnce(false, true).empty());
}

}  // namespace
}  // namespace kumquatcart::soak
