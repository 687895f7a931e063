#include <chrono>
#include <functional>
#include <map>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "common/expected_answer.h"
#include "load/http_call.h"
#include "standins/platform_api.h"

namespace kumquatcart::standins {
namespace {

using load::CallAnswer;

const VmId kLeader("vm-1");
const VmId kMember("vm-2");

Topology MakeTopology() {
  Topology topology;
  for (const VmId& id : {kLeader, kMember}) {
    TopologyVm engine;
    engine.vm.id = id;
    engine.vm.fabric_domain = FabricDomainId("fabric-1");
    engine.vm.endpoint = Endpoint{"127.0.0.1", 0};
    topology.vms.push_back(engine);
  }
  return topology;
}

StandInsSettings MakeSettings() {
  StandInsSettings settings;
  settings.vm_list_lag = Duration::zero();
  settings.engine.weights_bytes_per_vm = 1;
  settings.engine.first_token = Duration::zero();
  settings.engine.token_interval = std::chrono::milliseconds(1);
  return settings;
}

// Two engines and the platform on ephemeral ports, on a thread of their own.
class StandInsFixture {
 public:
  StandInsFixture()
      : stand_ins(&this->context,
                  &this->scheduler,
                  MakeSettings(),
                  MakeTopology()),
        api(&this->context,
            &this->scheduler,
            &this->stand_ins,
            Endpoint{"127.0.0.1", 0}) {
    REQUIRE(this->stand_ins.Start().has_value());
    REQUIRE(this->api.Start().has_value());
    this->platform = Endpoint{"127.0.0.1", this->api.Port()};
    for (const VmId& vm : {kLeader, kMember}) {
      this->engines[vm] =
          Endpoint{"127.0.0.1", this->stand_ins.FindHost(vm)->Port()};
    }
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~StandInsFixture() {
    this->context.stop();
    this->thread.join();
  }

  CallAnswer Send(
      const Endpoint& endpoint,
      const std::string& method,
      const std::string& target,
      const Json& body,
      const std::function<void(std::string_view)>& on_body =
          [](std::string_view) {}) {
    const load::CallRequest call{endpoint,
                                 method,
                                 target,
                                 {},
                                 body.is_null() ? "" : body.dump(),
                                 std::chrono::seconds(30)};
    return load::Call(call, on_body).value();
  }
  CallAnswer Fault(const Json& fault) {
    return this->Send(this->platform, "POST", "/faults", fault);
  }
  CallAnswer Get(const std::string& target) {
    return this->Send(this->platform, "GET", target, Json());
  }

  // Makes one group of both engines and waits until it serves.
  void ServeGroup() {
    this->GiveBoth("claim");
    for (const VmId& vm : {kLeader, kMember}) {
      while (this->Give(vm, "serve").status == 409) {
        std::this_thread::yield();
      }
    }
  }

  CallAnswer Generate(int max_tokens,
                      int resume_from,
                      const std::function<void(std::string_view)>& on_body) {
    const Json body = {{"attempt", "a1"},
                       {"request", "r1"},
                       {"group", "g"},
                       {"epoch", 1},
                       {"prompt", "why"},
                       {"max_tokens", max_tokens},
                       {"resume_from", resume_from}};
    return this->Send(this->engines[kLeader], "POST", "/engine/generate", body,
                      on_body);
  }

  Endpoint platform;
  std::map<VmId, Endpoint> engines;

 private:
  CallAnswer Give(const VmId& vm, const std::string& kind) {
    const Json claim = {{"group", "g"},
                        {"epoch", 1},
                        {"service", "lm"},
                        {"version", "v1"},
                        {"members", {kLeader, kMember}}};
    const Json order = {{"id", kind + "-" + vm.value},
                        {"kind", kind},
                        {"vm", vm},
                        {"claim", claim}};
    return this->Send(this->engines[vm], "POST", "/engine/orders", order);
  }
  void GiveBoth(const std::string& kind) {
    for (const VmId& vm : {kLeader, kMember}) {
      REQUIRE(this->Give(vm, kind).status == 200);
    }
  }

  RuntimeClock clock;
  boost::asio::io_context context{1};
  Scheduler scheduler{&this->context, &this->clock};
  StandIns stand_ins;
  PlatformApi api;
  std::thread thread;
};

std::vector<GenerateChunk> Lines(const std::string& body) {
  std::vector<GenerateChunk> chunks;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    chunks.push_back(DecodeJson<GenerateChunk>(line).value());
  }
  return chunks;
}

TEST_CASE("A whole answer has every token from the one asked for") {
  StandInsFixture fixture;
  fixture.ServeGroup();
  const CallAnswer answer = fixture.Generate(5, 2, [](std::string_view) {});
  REQUIRE(answer.whole);
  const std::vector<GenerateChunk> chunks = Lines(answer.body);
  REQUIRE(chunks.size() == 4);
  CHECK(chunks.front().index == 2);
  CHECK(chunks.front().token == tools::ExpectedToken("why", 2));
  CHECK(chunks.back().done);
  CHECK(chunks.back().index == 5);
}

TEST_CASE("A stream breaks off without its last line when a member dies") {
  StandInsFixture fixture;
  fixture.ServeGroup();
  bool killed = false;
  const CallAnswer answer = fixture.Generate(1000000, 0, [&](std::string_view) {
    if (!std::exchange(killed, true)) {
      fixture.Fault({{"kind", "vm-die"}, {"target", "vm-2"}});
    }
  });
  CHECK(answer.status == 200);
  CHECK_FALSE(answer.whole);
  CHECK_FALSE(
      Lines(answer.body.substr(0, answer.body.rfind('\n') + 1)).back().done);
}

TEST_CASE("The VMs of a dark fabric domain are unlisted until they restart") {
  StandInsFixture fixture;
  fixture.Fault({{"kind", "fabric-domain-dark"}, {"target", "fabric-1"}});
  CHECK(fixture.Get("/vms").body == R"({"vms":[]})");
  fixture.Fault({{"kind", "vm-restart"}, {"target", "vm-1"}});
  CHECK(ParseJson(fixture.Get("/vms").body).value()["vms"].size() == 1);
}

TEST_CASE("Injected lines are seen beside the right ones") {
  StandInsFixture fixture;
  fixture.ServeGroup();
  fixture.Fault({{"kind", "foreign-lines"}, {"target", "vm-1"}});
  fixture.Fault({{"kind", "duplicate-lines"}, {"target", "vm-1"}});
  const auto chunks =
      Lines(fixture.Generate(2, 0, [](std::string_view) {}).body);
  REQUIRE(chunks.size() == 5);
  CHECK(chunks[0].attempt != AttemptId("a1"));
  CHECK(chunks[1] == chunks[2]);
}

TEST_CASE("An append whose answer is lost is in the log") {
  StandInsFixture fixture;
  fixture.Fault({{"kind", "append-answer-lost"}});
  const Json append = {{"append_id", "a1"}, {"payload", "p"}};
  CHECK(fixture.Send(fixture.platform, "POST", "/log/s", append).status == 0);
  const auto batch = DecodeJson<LogBatch>(fixture.Get("/log/s?from=1").body);
  REQUIRE(batch.value().records.size() == 1);
  CHECK(batch.value().records.front().append_id == AppendId("a1"));
}

TEST_CASE("Cleared faults are over") {
  StandInsFixture fixture;
  fixture.Fault({{"kind", "log-down"}});
  fixture.Fault({{"kind", "vm-die"}, {"target", "vm-1"}});
  fixture.Fault({{"kind", "vm-leaving"}, {"target", "vm-2"}});
  CHECK(fixture.Get("/log/s?from=1").status == 503);
  REQUIRE(fixture.Send(fixture.platform, "DELETE", "/faults", Json()).status ==
          200);
  CHECK(fixture.Get("/log/s?from=1").status == 200);
  const Json vms = ParseJson(fixture.Get("/vms").body).value()["vms"];
  REQUIRE(vms.size() == 2);
  CHECK(vms[1]["state"] == "live");
}

TEST_CASE("Unknown faults and targets are refused") {
  StandInsFixture fixture;
  CHECK(fixture.Fault({{"kind", "rain"}}).status == 400);
  CHECK(fixture.Fault({{"kind", "vm-pause"}, {"target", "vm-9"}}).status ==
        404);
}

}  // namespace
}  // namespace kumquatcart::standins
