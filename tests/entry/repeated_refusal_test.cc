// Refusals that a faulty server writes once more on a kept connection.
#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

// Longer than a packet takes on loopback, far below any deadline.
constexpr Duration kRunTime = std::chrono::milliseconds(20);

std::string MakeRequestWithId(const std::string& path, const std::string& id) {
  std::string request = MakeRequest("GET", path);
  const std::string made = "X-Request-Id: id1\r\n";
  request.replace(request.find(made), made.size(),
                  "X-Request-Id: " + id + "\r\n");
  return request;
}

std::string IdOf(const std::string& head) {
  const std::string name = "X-Request-Id: ";
  const std::size_t begin = head.find(name) + name.size();
  return head.substr(begin, head.find('\r', begin) - begin);
}

// Without an id if `id` is empty.
std::string MakeRefusal(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
         (id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

// One event, so that it is also a complete stream.
std::string BodyOf(const std::string& id) {
  return "data: ran " + id + "\n\n";
}

std::string MakeSuccess(const std::string& id) {
  return MakeAnswer("X-Request-Id: " + id + "\r\n", "200 OK", BodyOf(id));
}

// Whether a status promises that the request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Requests that servers ran, as (request id, server).
using Runs = std::set<std::pair<std::string, std::string>>;

int CountRuns(const Runs& runs, const std::string& id) {
  return static_cast<int>(
      std::count_if(runs.begin(), runs.end(),
                    [&id](const auto& run) { return run.first == id; }));
}

// What a repeated refusal says of the request that it was written for.
enum class RefusalName { kEarlierRequest, kNone };

// Refuses the first request of each connection. Before the answer to each
// further one, writes that refusal once more. `named` says whether with its id.
LoopServer::Script RepeatRefusal(EntryFixture* fixture,
                                 const std::string& server,
                                 RefusalName named,
                                 Runs* runs) {
  return [fixture, server, named, runs](const auto& connection, Waiter* waiter,
                                        Coroutine yield) {
    std::string refused;
    for (;;) {
      const std::string head = ReadHead(connection.get(), waiter, yield);
      if (head.empty()) {
        return;
      }
      const std::string id = IdOf(head);
      if (refused.empty()) {
        refused = id;
        connection->Send(MakeRefusal(id));
        continue;
      }
      runs->emplace(id, server);
      connection->Send(
          MakeRefusal(named == RefusalName::kNone ? std::string() : refused));
      fixture->loop.Sleep(kRunTime, yield);
      connection->Send(MakeSuccess(id));
    }
  };
}

// Guards against a 503 to a caller whose request runs: the server writes the
// refusal of an earlier request once more on the kept connection.
TEST_CASE("An earlier refusal written once more refuses no later request") {
  for (const char* path : {"/again/x", "/stream/x"}) {
    for (const RefusalName named :
         {RefusalName::kEarlierRequest, RefusalName::kNone}) {
      CAPTURE(path, static_cast<int>(named));
      EntryFixture fixture;
      Runs runs;
      fixture.AddPlain("a", RepeatRefusal(&fixture, "a", named, &runs));
      fixture.AddGroup("g", RepeatRefusal(&fixture, "g", named, &runs));
      int runs_reported = 0;
      for (int i = 0; i < 6; ++i) {
        const std::string id = "r" + std::to_string(i);
        const CallerAnswer answer = fixture.Call(MakeRequestWithId(path, id));
        CAPTURE(id, answer.status);
        CHECK(answer.extra.empty());
        if (CountRuns(runs, id) > 0) {
          ++runs_reported;
          CHECK_FALSE(PromisesNotRun(answer.status));
          CHECK((answer.status != 200 || answer.body == BodyOf(id)));
        }
      }
      CHECK(runs_reported > 0);
    }
  }
}

// Guards against a request that runs on more servers than its route allows,
// since repeated refusals of servers that run it count as if they did not.
TEST_CASE("Repeated refusals without an id count as attempts of the route") {
  EntryFixture fixture;
  Runs runs;
  std::set<std::string> connected;
  for (const char* server : {"a", "b", "c"}) {
    const LoopServer::Script repeat =
        RepeatRefusal(&fixture, server, RefusalName::kNone, &runs);
    fixture.AddPlain(
        server, [&connected, server, repeat](const auto& connection,
                                             Waiter* waiter, Coroutine yield) {
          connected.insert(server);
          repeat(connection, waiter, yield);
        });
  }
  // The first request is refused by all, which keeps a connection to each.
  CHECK(fixture.Call(MakeRequestWithId("/again/x", "first")).status == 503);
  REQUIRE(connected.size() == 3);
  const CallerAnswer answer =
      fixture.Call(MakeRequestWithId("/again/x", "second"));
  CHECK(CountRuns(runs, "second") <= 2);
  CHECK_FALSE(PromisesNotRun(answer.status));
}

// Guards against the loss of a request to a repeated refusal where another
// server can still run it.
TEST_CASE("A request runs elsewhere after a refusal that names no request") {
  EntryFixture fixture;
  Runs runs;
  fixture.AddPlain("a",
                   RepeatRefusal(&fixture, "a", RefusalName::kNone, &runs));
  CHECK(fixture.Call(MakeRequestWithId("/again/x", "first")).status == 503);
  fixture.AddPlain("b", AnswerWith([](const std::string& head) {
                     return MakeSuccess(IdOf(head));
                   }));
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    CHECK(fixture.Call(MakeRequestWithId("/again/x", id)).body == BodyOf(id));
  }
}

// Guards against answers to earlier requests on the connection of a request
// that may run once: only the first answer of a connection belongs to its
// request without an id.
TEST_CASE("Each request that may run once gets a new connection") {
  for (const std::string path : {"/once/x", "/stream-once/x"}) {
    CAPTURE(path);
    EntryFixture fixture;
    Runs runs;
    std::vector<std::vector<std::string>> connections;
    const auto serve = [&](const auto& connection, Waiter* waiter,
                           Coroutine yield) {
      const std::size_t number = connections.size();
      connections.emplace_back();
      for (;;) {
        const std::string head = ReadHead(connection.get(), waiter, yield);
        if (head.empty()) {
          return;
        }
        const std::string id = IdOf(head);
        connections[number].push_back(id);
        connection->Send(id[0] == 'k' ? MakeRefusal(id) : MakeSuccess(id));
      }
    };
    fixture.AddPlain("a", serve);
    fixture.AddGroup("g", serve);
    for (int i = 0; i < 4; ++i) {
      // Keeps connections that a request which may run once could reuse.
      const std::string number = std::to_string(i);
      fixture.Call(MakeRequestWithId("/again/x", "k" + number));
      fixture.Call(MakeRequestWithId("/stream/x", "k" + number));
      CHECK(fixture.Call(MakeRequestWithId(path, "once" + number)).body ==
            BodyOf("once" + number));
    }
    int first_of_connection = 0;
    for (const std::vector<std::string>& ids : connections) {
      first_of_connection +=
          static_cast<int>(!ids.empty() && ids.front().rfind("once", 0) == 0);
    }
    CHECK(first_of_connection == 4);
  }
}

// Serves each connection with `bytes_for`, and records its requests as run.
LoopServer::Script RunAndSend(
    const std::string& server,
    Runs* runs,
    const std::function<std::string(const std::string& id)>& bytes_for) {
  return AnswerWith([server, runs, bytes_for](const std::string& head) {
    runs->emplace(IdOf(head), server);
    return bytes_for(IdOf(head));
  });
}

// Guards against a second run of a request whose server goes on after its
// refusal: the true answer stands behind it in the input.
TEST_CASE("A refusal with an answer behind it promises nothing") {
  const std::string refusal = MakeRefusal("once");
  for (const std::string& bytes :
       {refusal + MakeSuccess("once"), refusal + "HTTP/1.1 2",
        MakeRefusal("") + MakeSuccess("once"),
        MakeRefusal("earlier") + MakeRefusal("") + MakeSuccess("once")}) {
    CAPTURE(bytes);
    EntryFixture fixture;
    Runs runs;
    const auto send = [&bytes](const std::string&) { return bytes; };
    fixture.AddPlain("a", RunAndSend("a", &runs, send));
    fixture.AddPlain("b", RunAndSend("b", &runs, send));
    const CallerAnswer answer =
        fixture.Call(MakeRequestWithId("/once/x", "once"));
    CHECK(CountRuns(runs, "once") == 1);
    CHECK_FALSE(PromisesNotRun(answer.status));
  }
}

// Guards against the loss of a request that a server has refused twice, or with
// bytes behind the refusal that belong to no request: another server can run
// it.
TEST_CASE("A refusal without an answer behind it keeps its promise") {
  for (const std::string& extra :
       {MakeRefusal("once"), MakeRefusal(""), MakeRefusal("earlier"),
        MakeSuccess("earlier"), std::string("no answer\r\n\r\n")}) {
    CAPTURE(extra);
    EntryFixture fixture;
    Runs sent;
    const auto send = [&sent, &extra](const std::string& id) {
      return sent.size() == 1 ? MakeRefusal(id) + extra : MakeSuccess(id);
    };
    fixture.AddPlain("a", RunAndSend("a", &sent, send));
    fixture.AddPlain("b", RunAndSend("b", &sent, send));
    const CallerAnswer answer =
        fixture.Call(MakeRequestWithId("/once/x", "once"));
    CHECK(answer.status == 200);
    CHECK(sent.size() == 2);
  }
}

// Guards against a refusal without an id that is taken for the answer to this
// request although another request's answer came on the same connection.
TEST_CASE("A refusal without an id behind another answer promises nothing") {
  EntryFixture fixture;
  Runs runs;
  const auto send = [](const std::string&) {
    return MakeSuccess("earlier") + MakeRefusal("");
  };
  fixture.AddPlain("a", RunAndSend("a", &runs, send));
  fixture.AddPlain("b", RunAndSend("b", &runs, send));
  const CallerAnswer answer =
      fixture.Call(MakeRequestWithId("/once/x", "once"));
  CHECK(CountRuns(runs, "once") == 1);
  CHECK_FALSE(PromisesNotRun(answer.status));
}

// Guards against a second run of a request that a server has answered with
// success, by a field that contradicts the status.
TEST_CASE("A success is no refusal whatever its fields say") {
  EntryFixture fixture;
  Runs runs;
  const auto send = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Not-Executed: 1\r\n"
           "X-Response-Seal: sealed\r\nContent-Length: 3\r\n"
           "X-Request-Id: " +
           id + "\r\n\r\nran";
  };
  fixture.AddPlain("a", RunAndSend("a", &runs, send));
  fixture.AddPlain("b", RunAndSend("b", &runs, send));
  const CallerAnswer answer =
      fixture.Call(MakeRequestWithId("/once/x", "once"));
  CHECK(CountRuns(runs, "once") == 1);
  CHECK(answer.status == 200);
  CHECK(answer.body == "ran");
}

// Guards against an answer of an earlier request that is given to a later one,
// whether it arrives before the later request is sent or after.
TEST_CASE("An earlier answer written once more answers no later request") {
  for (const bool is_late : {false, true}) {
    CAPTURE(is_late);
    EntryFixture fixture;
    fixture.AddPlain(
        "a", [&](const auto& connection, Waiter* waiter, Coroutine yield) {
          std::string former;
          for (;;) {
            const std::string head = ReadHead(connection.get(), waiter, yield);
            if (head.empty()) {
              return;
            }
            const std::string answer = MakeSuccess(IdOf(head));
            if (is_late) {
              connection->Send(former);
              fixture.loop.Sleep(kRunTime, yield);
              connection->Send(answer);
            } else {
              connection->Send(answer);
              fixture.loop.Sleep(kRunTime, yield);
              connection->Send(answer);
            }
            former = answer;
          }
        });
    for (int i = 0; i < 4; ++i) {
      const std::string id = "r" + std::to_string(i);
      const CallerAnswer answer =
          fixture.Call(MakeRequestWithId("/again/x", id));
      CHECK(answer.status == 200);
      CHECK(answer.body == BodyOf(id));
      CHECK(answer.extra.empty());
      if (!is_late) {
        fixture.RunFor(2 * kRunTime);
      }
    }
  }
}

}  // namespace
}  // namespace kumquatcart
