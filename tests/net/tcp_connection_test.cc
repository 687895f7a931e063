#include "net/tcp_connection.h"

#include <malloc.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "net/net_constants.h"

namespace kumquatcart {
namespace {

// Guards against an incomplete body that ends with its connection in the same
// way as a complete one, also where nobody closes the connection.
TEST_CASE("A connection that resets on close also does so when destroyed") {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  tcp::socket client(context);
  {
    EventLoop loop;
    const LoopServer server(
        &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
          connection->SetResetOnClose(true);
          connection->Send("part");
          while (connection->UnsentBytes() > 0) {
            waiter->WaitUntil(TestDeadline(&loop), yield);
          }
          loop.Stop();
        });
    client.connect(server.Address());
    loop.Run();
    loop.UnwindCoroutines();
  }
  std::string input;
  boost::system::error_code error;
  boost::asio::read(client, boost::asio::dynamic_buffer(input), error);
  CHECK(input == "part");
  CHECK(error == boost::asio::error::connection_reset);
}

// Memory that the process has allocated, in bytes.
std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Guards against a process that exceeds its memory after a burst of uploads:
// idle connections to servers kept the bodies that were sent on them.
TEST_CASE("An idle connection holds no memory for what it has transferred") {
  constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
  EventLoop loop;
  std::size_t received = 0;
  const LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        while (received < kBodyBytes) {
          waiter->WaitUntil(TestDeadline(&loop), yield);
          received += connection->Input().size();
          connection->Consume(connection->Input().size());
        }
        connection->Send("done");
        while (!connection->HasEnded()) {
          waiter->WaitUntil(TestDeadline(&loop), yield);
        }
      });
  RunCoroutine(&loop, [&](Coroutine yield) {
    Waiter waiter(&loop);
    const auto connection = std::make_shared<TcpConnection>(&loop);
    REQUIRE(connection->Connect(server.Address(), TestDeadline(&loop), &waiter,
                                yield));
    const std::size_t before = AllocatedBytes();
    connection->Send(std::string(kBodyBytes, 'x'));
    while (connection->Input().empty() || connection->UnsentBytes() > 0) {
      REQUIRE(waiter.WaitUntil(TestDeadline(&loop), yield));
    }
    connection->Consume(connection->Input().size());
    CHECK(AllocatedBytes() < before + kReadPauseThresholdBytes);
    connection->SetWaiter(nullptr);
    connection->Close();
  });
}

TEST_CASE("A connection that resets on close ends in order once all is sent") {
  EventLoop loop;
  const std::string whole(1024 * 1024, 'x');
  const LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        connection->SetResetOnClose(true);
        connection->Send(whole);
        connection->FinishSending();
        while (!connection->HasEnded()) {
          waiter->WaitUntil(TestDeadline(&loop), yield);
        }
      });
  std::string input;
  bool has_failed = true;
  RunCoroutine(&loop, [&](Coroutine yield) {
    Waiter waiter(&loop);
    const auto connection = std::make_shared<TcpConnection>(&loop);
    REQUIRE(connection->Connect(server.Address(), TestDeadline(&loop), &waiter,
                                yield));
    while (!connection->HasEnded()) {
      REQUIRE(waiter.WaitUntil(TestDeadline(&loop), yield));
      input += connection->Input();
      connection->Consume(connection->Input().size());
    }
    has_failed = connection->HasFailed();
    connection->SetWaiter(nullptr);
    connection->Close();
  });
  CHECK_FALSE(has_failed);
  CHECK(input == whole);
  loop.UnwindCoroutines();
}

}  // namespace
}  // namespace kumquatcart
