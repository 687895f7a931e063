// Runs a complete entry VM process against a store, a backend server and
// callers on loopback.
#include "entry/entry_process.h"

#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"
#include "fakes/loop_store.h"
#include "model/socket_address.h"

namespace kumquatcart {
namespace {

constexpr char kConfig[] = R"({"version": 1,
  "routes": [{"name": "r", "host": "h", "path_prefix": "/x/",
              "kind": "non_idempotent", "timeout_ms": 4000, "service": "s",
              "public": true},
             {"name": "k", "host": "h", "path_prefix": "/kept/",
              "kind": "idempotent", "timeout_ms": 4000, "service": "kept",
              "public": true}],
  "services": [{"name": "s", "max_connections": 100},
               {"name": "kept", "max_connections": 100}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": []})";

constexpr std::int64_t kFirstStart = 1'700;
constexpr std::int64_t kSecondStart = 2'700;

constexpr Duration kStopGrace = std::chrono::seconds(5);

Endpoint ToEndpoint(const TcpEndpoint& address) {
  return Endpoint{address.address().to_string(), address.port()};
}

// The store, backend server and callers run on this thread, the process under
// test on another.
struct Deployment {
  explicit Deployment(Duration work, Duration stop_grace = kStopGrace)
      : store(&this->loop),
        server(&this->loop,
               [this,
                work](const auto& connection, Waiter* waiter, Coroutine yield) {
                 const std::string head =
                     ReadHead(connection.get(), waiter, yield);
                 ++this->runs;
                 this->loop.Sleep(work, yield);
                 connection->Send(MakeAnswer(head, "200 OK", "done"));
                 this->loop.Sleep(std::chrono::milliseconds(100), yield);
               }) {
    this->store.Put("keyed.op", "config", kConfig);
    this->PutServer("i1", "s", kFirstStart, this->server.Address());
    this->settings.node_name = "n1";
    this->settings.failure_domain = "a";
    this->settings.failure_domains = {"a"};
    for (Endpoint* endpoint :
         {&this->settings.callers, &this->settings.readiness,
          &this->settings.peers, &this->settings.metrics}) {
      *endpoint = ToEndpoint(FreeAddress());
    }
    this->settings.store = ToEndpoint(this->store.Address());
    this->settings.stop_grace = stop_grace;
    this->settings.retry_ratio = 0.2;
    this->settings.retry_base = 10;
    this->settings.retry_window = std::chrono::seconds(10);
    this->process = std::make_unique<EntryProcess>(this->settings, "");
    REQUIRE(this->process->Start().has_value());
    this->runner = std::thread([this] { this->process->Run(); });
  }
  ~Deployment() {
    if (this->runner.joinable()) {
      std::raise(SIGTERM);
      this->runner.join();
    }
    this->loop.UnwindCoroutines();
  }

  // The entry of a server that started at the Unix time `started_ms`.
  void PutServer(const std::string& id,
                 const std::string& service,
                 std::int64_t started_ms,
                 const TcpEndpoint& address) {
    const Json entry{{"service", service},
                     {"zone", "a"},
                     {"version", "v"},
                     {"slots", 4},
                     {"state", "ready"},
                     {"seq", 0},
                     {"cold_left_ms", 0},
                     {"born", started_ms},
                     {"address", ToEndpoint(address).ToString()}};
    this->store.Put("keyed.servers", id, entry.dump());
  }

  HttpResponse SendRequest(const Endpoint& at,
                           const std::string& target,
                           Coroutine yield) {
    HttpClient client(&this->loop);
    return client.Exchange(
        ToTcpEndpoint(at),
        OutgoingRequest{
            "POST",
            target,
            {{"Host", "h"}, {"X-Request-Id", "id1"}, {"X-Deadline-Ms", "4000"}},
            ""},
        TestDeadline(&this->loop), Duration{0}, yield);
  }

  bool IsReady(Coroutine yield) {
    return this->SendRequest(this->settings.readiness, "/api/ready", yield)
        .HasResponseStatus(200);
  }

  void WaitUntilReady(Coroutine yield) {
    const MonotonicTime deadline = TestDeadline(&this->loop);
    while (!this->IsReady(yield) && this->loop.Now() < deadline) {
      this->loop.Sleep(std::chrono::milliseconds(10), yield);
    }
  }

  EventLoop loop;
  LoopStore store;
  LoopServer server;
  int runs = 0;
  ProcessSettings settings;
  std::unique_ptr<EntryProcess> process;
  std::thread runner;
};

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

// Guards against a request that a stop cuts off at the end of its grace period.
TEST_CASE("A request that outlasts the grace period of a stop is answered") {
  Deployment deployment(/*work=*/2 * kStopGrace);
  HttpResponse reply;
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    std::raise(SIGTERM);
    // Its deadline is after the end of the grace period.
    deployment.loop.Sleep(std::chrono::milliseconds(1100), yield);
    reply = deployment.SendRequest(deployment.settings.callers, "/x/1", yield);
  });
  CHECK(deployment.runs == 1);
  CHECK(reply.HasResponseStatus(504));
  deployment.runner.join();
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
