// Orders and reports of model servers that repeat earlier answers.
#include "platform/engine_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(300);

BackendServer ServerAt(const LoopServer& server) {
  BackendServer entry;
  entry.id = "a";
  entry.started_ms = 1700;
  entry.endpoint = Endpoint{"127.0.0.1", server.Address().port()};
  return entry;
}

GroupRecord MakeRecord() {
  GroupRecord record;
  record.group = "g";
  record.epoch = 1;
  record.model = "m";
  record.members = {"a"};
  return record;
}

std::string RequestIdOf(const std::string& head) {
  const std::string name = "X-Request-Id: ";
  const std::size_t at = head.find(name);
  return at == std::string::npos
             ? std::string()
             : head.substr(at + name.size(),
                           head.find('\r', at) - at - name.size());
}

// Without an id if `id` is empty.
std::string MakeAnswer(const std::string& status,
                       const std::string& id,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A report that differs with `epoch`.
std::string MakeReport(int epoch) {
  return R"({"models":[],"staged":[],"born":1700,"group":{"name":"g","epoch":)" +
         std::to_string(epoch) + R"(,"rank":0,"state":"ready"}})";
}

// One request of a connection, counted from 1 over all connections.
struct ReceivedRequest {
  int number = 0;
  std::string id;
};

// Answers each request with `answer`. Before it, sends the former answer of the
// connection once more, if any.
LoopServer::Script RepeatFormerAnswer(
    EventLoop* loop,
    int* requests,
    std::function<std::string(const ReceivedRequest&)> answer) {
  return [loop, requests, answer = std::move(answer)](
             const auto& connection, Waiter* waiter, Coroutine yield) {
    std::string former;
    for (;;) {
      const std::string head = ReadHead(connection.get(), waiter, yield);
      if (head.empty()) {
        return;
      }
      const std::string current =
          answer(ReceivedRequest{++*requests, RequestIdOf(head)});
      connection->Send(former);
      // Apart from the former answer, as on a network.
      loop->Sleep(std::chrono::milliseconds(10), yield);
      connection->Send(current);
      former = current;
    }
  };
}

// Guards against an order that counts as begun because the server repeats its
// answer to an earlier one, such as an `open` that it refuses after a `join`.
TEST_CASE("An order is never answered by the answer to an earlier order") {
  for (const bool echoes : {false, true}) {
    CAPTURE(echoes);
    EventLoop loop;
    int requests = 0;
    LoopServer server(
        &loop, RepeatFormerAnswer(
                   &loop, &requests, [&](const ReceivedRequest& request) {
                     const std::string id = echoes ? request.id : "";
                     return request.number % 2 == 1
                                ? MakeAnswer("202 Accepted", id, "")
                                : MakeAnswer("409 Conflict", id, "");
                   }));
    HttpClient http(&loop);
    EngineClient engines(&loop, &http);
    RunCoroutine(&loop, [&](Coroutine yield) {
      const BackendServer entry = ServerAt(server);
      for (int i = 0; i < 4; ++i) {
        CHECK(engines.Send(entry, GroupOrder::kJoin, MakeRecord(), std::nullopt,
                           kTimeout, yield) == OrderOutcome::kBegan);
        CHECK(engines.Send(entry, GroupOrder::kOpen, MakeRecord(), std::nullopt,
                           kTimeout, yield) == OrderOutcome::kConflict);
      }
    });
  }
}

// Guards against a former report that counts as a fresh one, by which a server
// that has left its group since would count as its member.
TEST_CASE("A report is never the one that answered an earlier request") {
  for (const bool echoes : {false, true}) {
    CAPTURE(echoes);
    EventLoop loop;
    int requests = 0;
    LoopServer server(
        &loop, RepeatFormerAnswer(
                   &loop, &requests, [&](const ReceivedRequest& request) {
                     return MakeAnswer("200 OK", echoes ? request.id : "",
                                       MakeReport(request.number));
                   }));
    HttpClient http(&loop);
    EngineClient engines(&loop, &http);
    RunCoroutine(&loop, [&](Coroutine yield) {
      for (int i = 1; i <= 4; ++i) {
        const Result<EngineReport> report =
            engines.Report(ServerAt(server), kTimeout, yield);
        REQUIRE(report.has_value());
        REQUIRE(report.value().membership);
        CHECK(report.value().membership->epoch == i);
      }
    });
  }
}

// Guards against an order and a report that answer each other.
TEST_CASE("An order and a report never answer each other") {
  EventLoop loop;
  int requests = 0;
  LoopServer server(
      &loop,
      RepeatFormerAnswer(&loop, &requests, [](const ReceivedRequest& request) {
        return request.number % 2 == 1
                   ? MakeAnswer("200 OK", request.id,
                                MakeReport(request.number))
                   : MakeAnswer("409 Conflict", request.id, "");
      }));
  HttpClient http(&loop);
  EngineClient engines(&loop, &http);
  RunCoroutine(&loop, [&](Coroutine yield) {
    for (int i = 0; i < 3; ++i) {
      CHECK(engines.Report(ServerAt(server), kTimeout, yield).has_value());
      CHECK(engines.Send(ServerAt(server), GroupOrder::kJoin, MakeRecord(),
                         std::nullopt, kTimeout,
                         yield) == OrderOutcome::kConflict);
    }
  });
}

// Guards against an order that is carried out although the state on which it
// rests has changed.
TEST_CASE("An order states the number of orders on which it rests") {
  EventLoop loop;
  std::vector<std::string> bodies;
  LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        const std::string head = ReadHead(connection.get(), waiter, yield);
        bodies.push_back(head.substr(head.find("\r\n\r\n") + 4));
        connection->Send(MakeAnswer("409 Conflict", RequestIdOf(head), ""));
      });
  HttpClient http(&loop);
  EngineClient engines(&loop, &http);
  RunCoroutine(&loop, [&](Coroutine yield) {
    for (const std::optional<std::int64_t> expected :
         {std::optional<std::int64_t>(), std::optional<std::int64_t>(7)}) {
      CHECK(engines.Send(ServerAt(server), GroupOrder::kJoin, MakeRecord(),
                         expected, kTimeout, yield) == OrderOutcome::kConflict);
    }
  });
  REQUIRE(bodies.size() == 2);
  CHECK_FALSE(Json::parse(bodies[0]).contains("expect"));
  CHECK(Json::parse(bodies[1])["expect"] == 7);
}

// Guards against connections that are opened without need: opening one costs
// the server time.
TEST_CASE("Reports of a server that echoes request ids share a connection") {
  for (const bool echoes : {false, true}) {
    EventLoop loop;
    LoopServer server(
        &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
          for (;;) {
            const std::string head = ReadHead(connection.get(), waiter, yield);
            if (head.empty()) {
              return;
            }
            connection->Send(MakeAnswer(
                "200 OK", echoes ? RequestIdOf(head) : "", MakeReport(1)));
          }
        });
    HttpClient http(&loop);
    EngineClient engines(&loop, &http);
    RunCoroutine(&loop, [&](Coroutine yield) {
      for (int i = 0; i < 4; ++i) {
        CHECK(engines.Report(ServerAt(server), kTimeout, yield).has_value());
      }
    });
    CHECK(server.Connections() == (echoes ? 1 : 4));
  }
}

// Guards against a report that a server repeats for as long as it is asked.
TEST_CASE("Answers to other requests do not hold up a report for ever") {
  EventLoop loop;
  LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        ReadHead(connection.get(), waiter, yield);
        while (!connection->HasEnded()) {
          connection->Send(MakeAnswer("200 OK", "other", MakeReport(1)));
          loop.Sleep(std::chrono::milliseconds(1), yield);
        }
      });
  HttpClient http(&loop);
  EngineClient engines(&loop, &http);
  RunCoroutine(&loop, [&](Coroutine yield) {
    CHECK(engines.Report(ServerAt(server), std::chrono::seconds(5), yield)
              .has_error());
  });
  CHECK(server.Connections() == 1);
}

}  // namespace
}  // namespace kumquatcart
