// The share of the retry budget's base that a process has after its start.
#include <catch2/catch.hpp>

#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr int kRequests = 20;

// Lets requests of the idempotent route be sent to two servers.
std::string ConfigWithTwoAttempts() {
  Json config = Json::parse(kConfig);
  config["version"] = 2;
  config["routes"][1]["attempts"] = 2;
  return config.dump();
}

// Guards against repeats beyond the budget of all entry VMs when many of them
// start again: each start had a share of the base that its predecessor had
// used in the same window, and the whole base until it knew of peers.
TEST_CASE("A process that has just started leaves the retry base unused") {
  Deployment deployment(Duration{0});
  int arrivals = 0;
  const LoopServer failing(
      &deployment.loop,
      [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        ReadHead(connection.get(), waiter, yield);
        ++arrivals;
        connection->Close();
      });
  deployment.store.Put("keyed.op", "config", ConfigWithTwoAttempts());
  for (const char* id : {"k1", "k2", "k3"}) {
    deployment.PutServer(id, "kept", /*started_ms=*/1, failing.Address());
  }
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    deployment.WaitUntilReady(yield);
    const MonotonicTime deadline = TestDeadline(&deployment.loop);
    while (arrivals == 0 && deployment.loop.Now() < deadline) {
      deployment.SendRequest(deployment.settings.callers, "/kept/x", yield);
      deployment.loop.Sleep(std::chrono::milliseconds(10), yield);
    }
    arrivals = 0;
    for (int i = 0; i < kRequests; ++i) {
      CHECK(
          deployment.SendRequest(deployment.settings.callers, "/kept/x", yield)
              .HasResponseStatus(502));
    }
  });
  CHECK(arrivals >= kRequests);
  CHECK(arrivals - kRequests <= deployment.settings.retry_ratio * kRequests);
}

}  // namespace
}  // namespace kumquatcart
