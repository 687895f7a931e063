// A VM that starts after the store has come back from an older copy.
#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kNodesTopicName[] = "keyed.entry-vms";

// The configuration of the fixture in version 2, with its first route moved.
std::string NextConfig() {
  Json config = Json::parse(kConfig);
  config["version"] = 2;
  config["routes"][0]["path_prefix"] = "/new/";
  return config.dump();
}

// Another entry VM beside that of a deployment.
class SecondProcess {
 public:
  explicit SecondProcess(const Deployment& deployment)
      : settings(MakeSettings(deployment.settings)),
        process(this->settings, "") {
    REQUIRE(this->process.Start().has_value());
    this->runner = std::thread([this] { this->process.Run(); });
  }
  ~SecondProcess() {
    std::raise(SIGTERM);
    this->runner.join();
  }
  SecondProcess(const SecondProcess&) = delete;
  SecondProcess& operator=(const SecondProcess&) = delete;

  const ProcessSettings settings;

 private:
  static ProcessSettings MakeSettings(ProcessSettings settings) {
    settings.node_name = "n2";
    for (Endpoint* endpoint : {&settings.callers, &settings.readiness,
                               &settings.peers, &settings.metrics}) {
      *endpoint = ToEndpoint(FreeAddress());
    }
    return settings;
  }

  EntryProcess process;
  std::thread runner;
};

// Guards against a confirmed version, and a key that it took away, that come
// back on a VM which knows only what the older copy shows.
TEST_CASE("A VM that starts on an older copy takes the version of a peer") {
  Deployment d(Duration{0}, kStopGrace, [](Deployment* deployment) {
    deployment->store.era = "1";
    deployment->store.reads_wait = true;
    deployment->settings.link_bytes_per_second = 1e8;
  });
  RunCoroutine(&d.loop, [&](Coroutine yield) {
    const auto status = [&](const ProcessSettings& at, const char* target) {
      return d.SendRequest(at.callers, target, yield).status;
    };
    const auto wait_until = [&](const std::function<bool()>& done) {
      const MonotonicTime deadline = TestDeadline(&d.loop);
      while (!done() && d.loop.Now() < deadline) {
        d.loop.Sleep(std::chrono::milliseconds(10), yield);
      }
    };
    d.WaitUntilReady(yield);
    wait_until([&] { return d.store.End(kNodesTopicName) == 1; });
    const LoopStore::Topics copy = d.store.Copy();
    d.store.Put("keyed.op", "config", NextConfig());
    wait_until([&] { return status(d.settings, "/new/x") == 200; });
    REQUIRE(status(d.settings, "/new/x") == 200);
    REQUIRE(status(d.settings, "/x/x") == 404);
    d.store.ComeBackFrom(copy);
    d.store.era = "2";
    // The reads that wait for records end.
    d.loop.Sleep(std::chrono::milliseconds(1500), yield);
    CHECK(status(d.settings, "/new/x") == 200);
    CHECK(status(d.settings, "/x/x") == 404);

    const SecondProcess second(d);
    wait_until([&] {
      return d.SendRequest(second.settings.readiness, "/api/ready", yield)
          .HasResponseStatus(200);
    });
    d.loop.Sleep(std::chrono::milliseconds(50), yield);  // It is decoded.
    CHECK(status(second.settings, "/new/x") == 200);
    CHECK(status(second.settings, "/x/x") == 404);
  });
}

}  // namespace
}  // namespace kumquatcart
