// Runs a complete entry VM process against a store, a backend server and
// callers on loopback.
#include "entry/entry_process.h"

#include <csignal>

#include <catch2/catch.hpp>

#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr std::int64_t kFirstStart = 1'700;
constexpr std::int64_t kSecondStart = 2'700;

TEST_CASE("A process serves requests with only the store available") {
  Deployment deployment(Duration{0});
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    CHECK(deployment.IsReady(yield));
    const HttpResponse reply =
        deployment.SendRequest(deployment.settings.callers, "/x/1", yield);
    CHECK(reply.HasResponseStatus(200));
    CHECK(reply.body == "done");
  });
}

// Guards against requests that are sent over a connection of a former server at
// an address, and fail where they could have run.
TEST_CASE(
    "Kept connections to an address are closed when a server starts there") {
  struct Change {
    const char* id;
    std::int64_t started_ms;
  };
  for (const Change& change :
       {Change{"kept", kSecondStart}, Change{"other", kFirstStart}}) {
    CAPTURE(change.id);
    Deployment deployment(Duration{0});
    bool is_closed = false;
    LoopServer kept(&deployment.loop, [&](const auto& connection,
                                          Waiter* waiter, Coroutine yield) {
      const std::string head = ReadHead(connection.get(), waiter, yield);
      std::string answer = MakeAnswer(head, "200 OK", "done");
      answer.insert(answer.find("\r\n") + 2, "Keep-Alive: timeout=60\r\n");
      connection->Send(answer);
      while (!connection->HasEnded() &&
             waiter->WaitUntil(TestDeadline(&deployment.loop), yield)) {
      }
      is_closed = connection->HasEnded();
    });
    deployment.PutServer("kept", "kept", kFirstStart, kept.Address());
    RunCoroutine(&deployment.loop, [&](Coroutine yield) {
      deployment.WaitUntilReady(yield);
      REQUIRE(
          deployment.SendRequest(deployment.settings.callers, "/kept/1", yield)
              .HasResponseStatus(200));
      deployment.loop.Sleep(std::chrono::milliseconds(100), yield);
      CHECK_FALSE(is_closed);
      deployment.PutServer(change.id, "kept", change.started_ms,
                           kept.Address());
      const MonotonicTime deadline =
          deployment.loop.Now() + std::chrono::seconds(4);
      while (!is_closed && deployment.loop.Now() < deadline) {
        deployment.loop.Sleep(std::chrono::milliseconds(10), yield);
      }
      CHECK(is_closed);
    });
  }
}

TEST_CASE("A process completes its requests after SIGTERM") {
  Deployment deployment(std::chrono::milliseconds(900));
  std::vector<std::string> bodies;
  bool was_ready = true;
  const auto send = [&](Coroutine yield) {
    bodies.push_back(
        deployment.SendRequest(deployment.settings.callers, "/x/1", yield)
            .body);
  };
  MonotonicTime signalled_at;
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    deployment.loop.Spawn(send);
    deployment.loop.Sleep(std::chrono::milliseconds(200), yield);
    signalled_at = deployment.loop.Now();
    std::raise(SIGTERM);
    deployment.loop.Sleep(std::chrono::milliseconds(200), yield);
    was_ready = deployment.IsReady(yield);
    deployment.loop.Spawn(send);  // The load balancer may not have probed yet.
    deployment.loop.Sleep(std::chrono::milliseconds(1500), yield);
  });
  CHECK(!was_ready);
  CHECK(bodies == std::vector<std::string>{"done", "done"});
  CHECK(deployment.runs == 2);
  deployment.runner.join();
  CHECK(deployment.loop.Now() - signalled_at < kStopGrace);
}

// Guards against a request that is accepted during a stop and cut off at the
// end of its grace period, after it has run.
TEST_CASE("A request that may outlast the grace period of a stop is refused") {
  Deployment deployment(/*work=*/2 * kStopGrace);
  HttpResponse reply;
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    std::raise(SIGTERM);
    // Its deadline is after the end of the grace period.
    deployment.loop.Sleep(std::chrono::milliseconds(1100), yield);
    reply = deployment.SendRequest(deployment.settings.callers, "/x/1", yield);
  });
  CHECK(reply.HasResponseStatus(503));
  CHECK(!FindHeader(reply.headers, "Retry-After").empty());
  deployment.runner.join();
  CHECK(deployment.runs == 0);
}

// Guards against a grace period that ends before idle connections and those of
// the backlog are handled, and before requests learn of the stop.
TEST_CASE("A short grace period of a stop is kept") {
  constexpr Duration kShortGrace = std::chrono::seconds(2);
  Deployment deployment(/*work=*/2 * kStopGrace, kShortGrace);
  HttpResponse reply;
  MonotonicTime signalled_at;
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    deployment.loop.Spawn([&](Coroutine inner) {
      deployment.loop.Sleep(std::chrono::milliseconds(200), inner);
      signalled_at = deployment.loop.Now();
      std::raise(SIGTERM);
    });
    reply = deployment.SendRequest(deployment.settings.callers, "/x/1", yield);
  });
  CHECK(deployment.runs == 1);
  CHECK(reply.HasResponseStatus(504));
  deployment.runner.join();
  CHECK(deployment.loop.Now() - signalled_at < kShortGrace);
}

}  // namespace
}  // namespace kumquatcart
