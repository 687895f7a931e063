// Entry VM processes whose reads of the store are lost in a silence of it.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/process_fixture.h"
#include "net/http_status.h"

namespace kumquatcart {
namespace {

constexpr char kOperatorTopicName[] = "keyed.op";
constexpr char kServersTopicName[] = "keyed.servers";
// The platform's bounds on the time until a confirmed configuration, and the
// departure of a server, take effect.
constexpr Duration kPropagationBound = std::chrono::milliseconds(2000);
constexpr Duration kDrainBound = std::chrono::milliseconds(2000);
// From an answer of the store until the follower has sent its next read.
constexpr Duration kNextReadSent = std::chrono::milliseconds(300);

// The configuration with one more route, which is named after the version.
std::string ConfigWithRoute(int version) {
  Json config = Json::parse(kConfig);
  Json route = config["routes"][0];
  route["name"] = "added" + std::to_string(version);
  route["path_prefix"] = "/added" + std::to_string(version) + "/";
  config["routes"].push_back(route);
  config["version"] = version;
  return config.dump();
}

// Two entry VMs, each of which passes calls on to the store for the other.
class TwoVms {
 public:
  TwoVms() {
    ProcessSettings settings = this->first.settings;
    settings.node_name = "n2";
    for (Endpoint* endpoint : {&settings.callers, &settings.readiness,
                               &settings.peers, &settings.metrics}) {
      *endpoint = ToEndpoint(FreeAddress());
    }
    this->second_settings = settings;
    this->second = std::make_unique<EntryProcess>(settings, "");
    REQUIRE(this->second->Start().has_value());
    this->runner = std::thread([this] { this->second->Run(); });
  }
  ~TwoVms() {
    std::raise(SIGTERM);
    this->runner.join();
  }
  TwoVms(const TwoVms&) = delete;
  TwoVms& operator=(const TwoVms&) = delete;

  EventLoop& Loop() { return this->first.loop; }
  LoopStore& Store() { return this->first.store; }

  // Waits until both VMs serve, know each other and wait for records.
  void WaitUntilSettled(Coroutine yield) {
    this->first.WaitUntilReady(yield);
    const MonotonicTime deadline = TestDeadline(&this->Loop());
    while (!this->AllAnswer(kHttpOk, "/x/1", yield) &&
           this->Loop().Now() < deadline) {
      this->Loop().Sleep(std::chrono::milliseconds(10), yield);
    }
    this->Loop().Sleep(std::chrono::milliseconds(1500), yield);
  }

  // Makes the followers of `topic` begin a read at the same moment, which is
  // then lost in a silence of `length`.
  void LoseReads(const std::function<void()>& wake,
                 Duration length,
                 Coroutine yield) {
    wake();
    this->Loop().Sleep(kNextReadSent, yield);
    this->Store().BeginSilence();
    this->Loop().Sleep(length, yield);
    this->Store().EndSilence();
  }

  // Sends a request for `target` to both VMs until both answer with `status`.
  // Returns the time that it took, at most `limit`.
  Duration TimeUntilAllAnswer(int status,
                              const std::string& target,
                              Duration limit,
                              Coroutine yield) {
    const MonotonicTime since = this->Loop().Now();
    while (!this->AllAnswer(status, target, yield) &&
           this->Loop().Now() - since < limit) {
      this->Loop().Sleep(std::chrono::milliseconds(20), yield);
    }
    return std::min(this->Loop().Now() - since, limit);
  }

  Deployment first{Duration{0}, kStopGrace, [](Deployment* deployment) {
                     deployment->store.reads_wait = true;
                   }};

 private:
  bool AllAnswer(int status, const std::string& target, Coroutine yield) {
    return this->first.SendRequest(this->first.settings.callers, target, yield)
               .HasResponseStatus(status) &&
           this->first.SendRequest(this->second_settings.callers, target, yield)
               .HasResponseStatus(status);
  }

  ProcessSettings second_settings;
  std::unique_ptr<EntryProcess> second;
  std::thread runner;
};

// Guards against a configuration that all VMs miss for seconds: their reads of
// the operator's topic stand in the same phase, are lost in a silence of the
// store, and so are the reads through a peer that follow them.
TEST_CASE("A version confirmed after a silence of the store is in force soon") {
  for (const int silence_ms : {500, 2000, 4300}) {
    CAPTURE(silence_ms);
    TwoVms vms;
    RunCoroutine(&vms.Loop(), [&](Coroutine yield) {
      vms.WaitUntilSettled(yield);
      vms.LoseReads(
          [&] {
            vms.Store().Put(kOperatorTopicName, "config", ConfigWithRoute(2));
          },
          std::chrono::milliseconds(silence_ms), yield);
      vms.Store().Put(kOperatorTopicName, "config", ConfigWithRoute(3));
      CHECK(vms.TimeUntilAllAnswer(kHttpOk, "/added3/1", 2 * kPropagationBound,
                                   yield) < kPropagationBound);
    });
  }
}

// Guards against requests to a server whose departure all VMs miss in the same
// way.
TEST_CASE("A server that leaves after a silence of the store is left out") {
  for (const int silence_ms : {500, 1900, 3700}) {
    CAPTURE(silence_ms);
    TwoVms vms;
    RunCoroutine(&vms.Loop(), [&](Coroutine yield) {
      vms.WaitUntilSettled(yield);
      vms.LoseReads([&] { vms.first.PutServer("i2"); },
                    std::chrono::milliseconds(silence_ms), yield);
      for (const char* id : {"i1", "i2"}) {
        Json entry = Json::parse(ServerEntryWith(vms.first.ServerAddress()));
        entry["state"] = "draining";
        vms.Store().Put(kServersTopicName, id, entry.dump());
      }
      CHECK(vms.TimeUntilAllAnswer(kHttpServiceUnavailable, "/x/1",
                                   2 * kDrainBound, yield) < kDrainBound);
    });
  }
}

}  // namespace
}  // namespace kumquatcart
