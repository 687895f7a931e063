#include "net/http_client.h"

#include <future>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "fakes/raw_server.h"
#include "model/socket_address.h"

namespace kumquatcart {
namespace {

constexpr Duration kMaxIdle = std::chrono::seconds(10);

void RespondToEachRequest(const std::string& response,
                          const std::shared_ptr<TcpConnection>& connection,
                          Waiter* waiter,
                          Coroutine yield) {
  while (!ReadHead(connection.get(), waiter, yield).empty()) {
    connection->Send(response);
  }
}

HttpResponse SendGet(EventLoop* loop,
                     HttpClient* client,
                     const TcpEndpoint& address,
                     Coroutine yield) {
  return client->Exchange(address, OutgoingRequest{"GET", "/x", {}, {}},
                          TestDeadline(loop), kMaxIdle, yield);
}

TEST_CASE("Consecutive exchanges reuse a pooled connection") {
  EventLoop loop;
  LoopServer server(
      &loop, [](const auto& connection, Waiter* waiter, Coroutine yield) {
        RespondToEachRequest("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                             connection, waiter, yield);
      });
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(SendGet(&loop, &client, server.Address(), yield)
              .HasResponseStatus(200));
    CHECK(SendGet(&loop, &client, server.Address(), yield).body == "a");
  });
  CHECK(server.Connections() == 1);
}

TEST_CASE("A connection that holds extra bytes is not used again") {
  EventLoop loop;
  LoopServer server(
      &loop, [](const auto& connection, Waiter* waiter, Coroutine yield) {
        RespondToEachRequest(
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb",
            connection, waiter, yield);
      });
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(SendGet(&loop, &client, server.Address(), yield).body == "a");
    CHECK(SendGet(&loop, &client, server.Address(), yield).body == "a");
  });
  CHECK(server.Connections() == 2);
}

TEST_CASE("A server that closes without a response yields no answer") {
  EventLoop loop;
  LoopServer server(
      &loop, [](const auto& connection, Waiter* waiter, Coroutine yield) {
        ReadHead(connection.get(), waiter, yield);
        connection->Close();
      });
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(SendGet(&loop, &client, server.Address(), yield).result ==
          ExchangeResult::kNoAnswer);
  });
}

TEST_CASE("A request to a closed port was not sent") {
  EventLoop loop;
  TcpEndpoint address;
  {
    LoopServer server(&loop, [](const auto&, Waiter*, Coroutine) {});
    address = server.Address();
  }
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(SendGet(&loop, &client, address, yield).result ==
          ExchangeResult::kNotSent);
  });
}

// Guards against a faulty server whose body grows until the deadline.
TEST_CASE("A response over the size limit is broken off") {
  constexpr std::size_t kLimit = 1024 * 1024;
  EventLoop loop;
  LoopServer server(
      &loop, [](const auto& connection, Waiter* waiter, Coroutine yield) {
        ReadHead(connection.get(), waiter, yield);
        connection->Send("HTTP/1.1 200 OK\r\n\r\n");
        while (!connection->HasEnded()) {
          connection->Send(std::string(kLimit / 8, 'x'));
          waiter->WaitUntil(MonotonicTime::max(), yield);
        }
      });
  HttpClient client(&loop, kLimit);
  RunCoroutine(&loop, [&](Coroutine yield) {
    const HttpResponse reply = SendGet(&loop, &client, server.Address(), yield);
    CHECK(reply.result == ExchangeResult::kNoAnswer);
    CHECK(reply.partial_body_bytes < 2 * kLimit);
  });
}

// Guards against the answer to a call that has timed out, such as an append to
// the store, which is taken for the answer to the next call.
TEST_CASE("A response that comes after its deadline answers no later call") {
  constexpr Duration kDelay = std::chrono::milliseconds(40);
  EventLoop loop;
  int requests = 0;
  LoopServer server(&loop, [&](const auto& connection, Waiter* waiter,
                               Coroutine yield) {
    while (!ReadHead(connection.get(), waiter, yield).empty()) {
      const std::string number = std::to_string(++requests);
      if (requests % 2 == 0) {
        loop.Sleep(kDelay, yield);
      }
      connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + number);
    }
  });
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    const OutgoingRequest request{"GET", "/x", {}, {}};
    for (int i = 1; i <= 5; i += 2) {
      CHECK(SendGet(&loop, &client, server.Address(), yield).body ==
            std::to_string(i));
      CHECK(client
                .Exchange(server.Address(), request, loop.Now() + kDelay / 2,
                          kMaxIdle, yield)
                .result == ExchangeResult::kTimedOut);
    }
    loop.Sleep(2 * kDelay, yield);
    CHECK(SendGet(&loop, &client, server.Address(), yield).body == "7");
  });
}

// Guards against a request on a pooled connection that the server has closed
// while the event loop was held up and had not looked at the socket yet.
TEST_CASE("A pooled connection that the server has closed is not used") {
  std::promise<void> may_close;
  std::promise<void> has_closed;
  RawServer server([&](RawConnection* connection, int number) {
    connection->ReadMessage();
    connection->Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    if (number == 1) {
      may_close.get_future().wait();
      connection->Close();
      has_closed.set_value();
    }
  });
  const TcpEndpoint address = ToTcpEndpoint(server.Address());
  EventLoop loop;
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(SendGet(&loop, &client, address, yield).HasResponseStatus(200));
    may_close.set_value();
    has_closed.get_future().wait();  // Holds up the loop.
    CHECK(SendGet(&loop, &client, address, yield).HasResponseStatus(200));
  });
  CHECK(server.Connections() == 2);
}

}  // namespace
}  // namespace kumquatcart
