// Messages that exhaust a resource or a parser: they end with the exchange in
// which they occur, with a truthful outcome.
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"
#include "entry/simple_http_server.h"
#include "fakes/allocation_limit.h"
#include "fakes/free_address.h"

namespace kumquatcart {
namespace {

constexpr char kUnboundedLength[] = "Content-Length: 1000000000000000\r\n";
constexpr std::size_t kLongFieldBytes = 70'000;
// Allocations above this fail where a test asks for it; its messages are
// larger.
constexpr std::size_t kMaxAllocation = 1024 * 1024;
constexpr std::size_t kLargeBodyBytes = 4 * 1024 * 1024;

std::string LongTrailer() {
  return "0\r\nX-Odd: " + std::string(kLongFieldBytes, 'y') + "\r\n\r\n";
}

// An answer to the request with the head `head` whose framing is replaced.
std::string AnswerFramedBy(const std::string& head,
                           const std::string& framing,
                           const std::string& body) {
  std::string answer = MakeAnswer(head, "200 OK", "");
  const std::string length = "Content-Length: 0\r\n";
  answer.replace(answer.find(length), length.size(), framing);
  return answer + body;
}

// A server of which "/once/large" gets a body beyond the allocation limit, sent
// in small parts, and any other path a small one.
LoopServer::Script AnswerLargely(EntryFixture* fixture) {
  return [fixture](const auto& connection, Waiter* waiter, Coroutine yield) {
    const std::string head = ReadHead(connection.get(), waiter, yield);
    fixture->received.push_back(head);
    if (head.find("/large") == std::string::npos) {
      // Still in progress when the large answer fails.
      fixture->loop.Sleep(std::chrono::milliseconds(300), yield);
      connection->Send(MakeAnswer(head, "200 OK", "small"));
      connection->FinishSending();
      return;
    }
    connection->Send(AnswerFramedBy(
        head, "Content-Length: " + std::to_string(kLargeBodyBytes) + "\r\n",
        ""));
    for (std::size_t sent = 0;
         sent < kLargeBodyBytes && !connection->HasEnded();) {
      if (connection->UnsentBytes() == 0) {
        connection->Send(std::string(kReadChunkBytes, 'x'));
        sent += kReadChunkBytes;
      }
      waiter->WaitUntil(TestDeadline(&fixture->loop), yield);
    }
  };
}

// Sends requests to two servers, of which the first one sends each connection
// `framing` and `body` and closes it.
void CheckOddAnswer(const std::string& framing, const std::string& body) {
  EntryFixture fixture;
  int odd_answers = 0;
  const auto odd = [&](const auto& connection, Waiter* waiter,
                       Coroutine yield) {
    const std::string head = ReadHead(connection.get(), waiter, yield);
    ++odd_answers;
    connection->Send(AnswerFramedBy(head, framing, body));
    connection->FinishSending();
  };
  fixture.AddPlain("a", odd);
  CHECK(
      fixture
          .SendRequest(MakeRequest("POST", "/once/x", "Content-Length: 0\r\n"))
          .rfind("HTTP/1.1 502", 0) == 0);
  CHECK(odd_answers == 1);
  fixture.AddPlain("b", AnswerWith([](const std::string& head) {
                     return MakeAnswer(head, "200 OK", "whole");
                   }));
  const std::string answer =
      fixture.SendRequest(MakeRequest("GET", "/again/x"));
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(fixture.InProgress("a") == 0);
}

// Guards against a process that ends, with all requests in progress, because
// one server announces a body that no memory holds.
TEST_CASE("An answer of unbounded length ends only its attempt") {
  CheckOddAnswer(kUnboundedLength, "booked");
}

// The same for a field behind the body, for which the parser throws.
TEST_CASE("An answer with a long trailer ends only its attempt") {
  CheckOddAnswer("Transfer-Encoding: chunked\r\n",
                 "6\r\nbooked\r\n" + LongTrailer());
}

// Guards against a process that any caller can end, before its key is checked.
TEST_CASE("A request with a long trailer is refused") {
  EntryFixture fixture;
  fixture.AddPlain("a", AnswerLargely(&fixture));
  CHECK(fixture
            .SendRequest(MakeRequest("POST", "/once/x",
                                     "Transfer-Encoding: chunked\r\n") +
                         LongTrailer())
            .rfind("HTTP/1.1 431", 0) == 0);
  CHECK(fixture.received.empty());
  CHECK(
      fixture
          .SendRequest(MakeRequest("POST", "/once/x", "Content-Length: 0\r\n"))
          .rfind("HTTP/1.1 200", 0) == 0);
  CHECK(fixture.received.size() == 1);
}

// The failures that the loop of a fixture has contained.
struct FailureCount {
  explicit FailureCount(EventLoop* loop) {
    loop->Monitor()->SetMetrics(&this->metrics);
  }

  std::uint64_t Of(const std::string& exchange) {
    return this->metrics
        .GetCounter("kumquatcart_failed_exchanges_total",
                    {{"exchange", exchange}})
        .Value();
  }

  MetricRegistry metrics;
};

// Guards against one answer that uses up the memory and ends all others with
// it.
TEST_CASE("A failed allocation for an answer leaves the others answered") {
  EntryFixture fixture;
  FailureCount failures(&fixture.loop);
  fixture.AddPlain("a", AnswerLargely(&fixture));
  const AllocationLimit limit(kMaxAllocation);
  std::string small;
  fixture.loop.Spawn([&](Coroutine yield) {
    HttpClient client(&fixture.loop);
    const HttpResponse reply = client.ExchangeOnNewConnection(
        fixture.EntryAddress(),
        OutgoingRequest{"POST",
                        "/once/small",
                        {{"Host", "h"},
                         {"X-Request-Id", "id2"},
                         {"Authorization", "Bearer key"}},
                        {}},
        TestDeadline(&fixture.loop), yield);
    small = std::to_string(reply.status) + " " + reply.body;
  });
  // The request was sent, so it may have run.
  CHECK(fixture
            .SendRequest(
                MakeRequest("POST", "/once/large", "Content-Length: 0\r\n"))
            .rfind("HTTP/1.1 502", 0) == 0);
  CHECK(failures.Of("server_attempt") == 1);
  fixture.RunFor(std::chrono::milliseconds(500));
  CHECK(small == "200 small");
  CHECK(fixture.InProgress("a") == 0);
  CHECK(fixture.context.buffered_answer_bytes == 0);
}

TEST_CASE("A failed allocation for a request ends its connection only") {
  EntryFixture fixture;
  FailureCount failures(&fixture.loop);
  fixture.AddPlain("a", AnswerLargely(&fixture));
  const AllocationLimit limit(kMaxAllocation);
  bool has_ended = false;
  fixture.loop.Spawn([&](Coroutine yield) {
    Waiter waiter(&fixture.loop);
    const auto caller = std::make_shared<TcpConnection>(&fixture.loop);
    REQUIRE(caller->Connect(fixture.EntryAddress(), TestDeadline(&fixture.loop),
                            &waiter, yield));
    caller->Send(MakeRequest(
        "POST", "/once/x",
        "Content-Length: " + std::to_string(kLargeBodyBytes) + "\r\n"));
    while (!caller->HasEnded()) {
      if (caller->UnsentBytes() == 0) {
        caller->Send(std::string(kReadChunkBytes, 'x'));
      }
      waiter.WaitUntil(TestDeadline(&fixture.loop), yield);
    }
    has_ended = true;
    caller->SetWaiter(nullptr);
  });
  CHECK(fixture
            .SendRequest(
                MakeRequest("POST", "/once/small", "Content-Length: 0\r\n"))
            .rfind("HTTP/1.1 200", 0) == 0);
  fixture.RunFor(std::chrono::milliseconds(100));
  CHECK(has_ended);
  CHECK(failures.Of("session") == 1);
  CHECK(fixture.received.size() == 1);
}

TEST_CASE("A failure outside of an attempt is answered with 502") {
  EntryFixture fixture;
  FailureCount failures(&fixture.loop);
  fixture.AddPlain("a", AnswerLargely(&fixture));
  // What the request needs before it is sent fails for the first one.
  bool fails = true;
  fixture.context.has_fleet_state = [&fails] {
    if (std::exchange(fails, false)) {
      throw std::bad_alloc();
    }
    return true;
  };
  const std::string request =
      MakeRequest("POST", "/once/x", "Content-Length: 0\r\n");
  CHECK(fixture.SendRequest(request).rfind("HTTP/1.1 502", 0) == 0);
  CHECK(failures.Of("request") == 1);
  CHECK(fixture.received.empty());
  CHECK(fixture.SendRequest(request).rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against a peer or the platform whose request ends the process.
TEST_CASE("A failure of a service ends one connection") {
  EventLoop loop;
  FailureCount failures(&loop);
  const TcpEndpoint address = FreeAddress();
  SimpleHttpServer service(
      &loop, [](const ParsedRequest& request, Coroutine) -> SimpleHttpResponse {
        if (request.target == "/fails") {
          throw std::bad_alloc();
        }
        return {200, "sound"};
      });
  REQUIRE(service.Start(address).has_value());
  HttpClient client(&loop);
  RunCoroutine(&loop, [&](Coroutine yield) {
    const auto get = [&](const std::string& target) {
      return client.ExchangeOnNewConnection(
          address, OutgoingRequest{"GET", target, {}, {}}, TestDeadline(&loop),
          yield);
    };
    CHECK(get("/fails").result == ExchangeResult::kNoAnswer);
    CHECK(get("/").body == "sound");
  });
  CHECK(failures.Of("service_request") == 1);
}

// Guards against a status report, an answer to an order or an answer of the
// store that ends the process.
TEST_CASE("A failed allocation in a call of the process ends the call") {
  EventLoop loop;
  FailureCount failures(&loop);
  LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        const std::string head = ReadHead(connection.get(), waiter, yield);
        connection->Send("HTTP/1.1 200 OK\r\n\r\n");
        while (head.find("/large") != std::string::npos &&
               !connection->HasEnded()) {
          if (connection->UnsentBytes() == 0) {
            connection->Send(std::string(kReadChunkBytes, 'x'));
          }
          waiter->WaitUntil(TestDeadline(&loop), yield);
        }
        connection->FinishSending();
      });
  HttpClient client(&loop);
  const AllocationLimit limit(kMaxAllocation);
  RunCoroutine(&loop, [&](Coroutine yield) {
    const auto get = [&](const std::string& target) {
      return client.ExchangeOnNewConnection(
          server.Address(), OutgoingRequest{"GET", target, {}, {}},
          TestDeadline(&loop), yield);
    };
    CHECK(get("/large").result == ExchangeResult::kNoAnswer);
    CHECK(get("/small").HasResponseStatus(200));
  });
  CHECK(failures.Of("http_exchange") == 1);
}

}  // namespace
}  // namespace kumquatcart
