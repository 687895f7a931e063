// A complete entry VM process with a store, a backend server and callers on
// loopback.
#ifndef ENTRY_PROCESS_FIXTURE_H_
#define ENTRY_PROCESS_FIXTURE_H_

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"
#include "entry/entry_process.h"
#include "fakes/loop_store.h"
#include "fakes/odd_server_entries.h"
#include "model/socket_address.h"

namespace kumquatcart {

inline constexpr char kConfig[] = R"({"version": 1,
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

inline constexpr Duration kStopGrace = std::chrono::seconds(5);

inline Endpoint ToEndpoint(const TcpEndpoint& address) {
  return Endpoint{address.address().to_string(), address.port()};
}

// The store, backend server and callers run on this thread, the process under
// test on another.
struct Deployment {
  // `prepare` adds further records before the process starts.
  explicit Deployment(
      Duration work,
      Duration stop_grace = kStopGrace,
      const std::function<void(Deployment*)>& prepare = [](Deployment*) {})
      : store(&this->loop),
        server(&this->loop,
               [this,
                work](const auto& connection, Waiter* waiter, Coroutine yield) {
                 const std::string head =
                     ReadHead(connection.get(), waiter, yield);
                 ++this->runs;
                 this->last_head = head;
                 this->loop.Sleep(work, yield);
                 connection->Send(MakeAnswer(head, "200 OK", "done"));
                 this->loop.Sleep(std::chrono::milliseconds(100), yield);
               }) {
    this->store.Put("keyed.op", "config", kConfig);
    this->PutServer("i1");
    prepare(this);
    this->settings.node_name = "n1";
    this->settings.failure_domain = "a";
    this->settings.failure_domains = {"a"};
    for (Endpoint* endpoint :
         {&this->settings.callers, &this->settings.readiness,
          &this->settings.peers, &this->settings.metrics}) {
      *endpoint = ToEndpoint(FreeAddress());
    }
    this->settings.store = ToEndpoint(this->store.Address());
    this->settings.drain_bound = std::chrono::seconds(2);
    this->settings.propagation_bound = std::chrono::seconds(2);
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

  std::string ServerAddress() const {
    return ToEndpoint(this->server.Address()).ToString();
  }

  // Writes the entry of the backend server under `id`.
  void PutServer(const std::string& id) {
    this->store.Put("keyed.servers", id,
                    ServerEntryWith(this->ServerAddress()));
  }

  // Writes the entry of a server that started at the Unix time `started_ms`.
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
  int runs = 0;           // Requests at the backend server.
  std::string last_head;  // Of the last one.
  ProcessSettings settings;
  std::unique_ptr<EntryProcess> process;
  std::thread runner;
};

}  // namespace kumquatcart

#endif  // ENTRY_PROCESS_FIXTURE_H_
