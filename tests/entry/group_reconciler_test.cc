// Forms groups over HTTP with scripted model servers.
#include "control/group_reconciler.h"

#include <memory>

#include <catch2/catch.hpp>

#include "control/group_record_codec.h"
#include "fakes/loop_server.h"
#include "fakes/loop_store.h"

namespace kumquatcart {
namespace {

// A model server that records the orders it receives.
class FakeEngine {
 public:
  FakeEngine(EventLoop* loop, std::string id)
      : id(std::move(id)),
        address(FreeAddress()),
        service(loop, [this](const ParsedRequest& request, Coroutine) {
          return this->Answer(request);
        }) {
    REQUIRE(this->service.Start(this->address).has_value());
  }

  BackendServer Entry() const {
    BackendServer server;
    server.id = this->id;
    server.service = "models";
    server.failure_domain = "zone";
    server.fabric_domain = "d";
    server.endpoint =
        Endpoint{this->address.address().to_string(), this->address.port()};
    return server;
  }

  bool HasOrder(const std::string& op) const {
    return std::any_of(this->orders.begin(), this->orders.end(),
                       [&op](const Json& order) { return order["op"] == op; });
  }

  const std::string id;
  bool becomes_ready = true;
  std::vector<Json> orders;
  // Number of records in the store when the first order arrived.
  std::function<std::size_t()> count_records;
  std::size_t records_at_first_order = 0;

 private:
  SimpleHttpResponse Answer(const ParsedRequest& request) {
    if (request.target == "/api/report") {
      Json report{{"models", Json::array()}, {"seq", 0}};
      if (!this->group.is_null()) {
        report["group"] = this->group;
      }
      return {200, report.dump()};
    }
    const Json order = Json::parse(request.body);
    if (this->orders.empty()) {
      this->records_at_first_order = this->count_records();
    }
    this->orders.push_back(order);
    if (order["op"] == "join") {
      this->group = {{"name", order["group"]},
                     {"epoch", order["epoch"]},
                     {"rank", order["members"][0] == this->id ? 0 : 1},
                     {"state", this->becomes_ready ? "ready" : "joining"}};
    }
    return {202, ""};
  }

  const TcpEndpoint address;
  Json group;
  SimpleHttpServer service;
};

// One fabric domain with three servers, and one model with groups of two.
struct DriverFixture {
  DriverFixture()
      : store(&this->loop),
        client(&this->loop, this->store.Address()),
        http(&this->loop),
        engines(&this->loop, &this->http),
        peers("node", "zone"),
        role(&this->loop, &this->peers, &this->client, "zone"),
        prober(
            &this->loop,
            &this->engines,
            &this->view,
            &this->role,
            [](const PeerState&) {},
            [] {}),
        records(
            &this->loop,
            &this->client,
            FollowerSettings{
                StoreTopic::kGroups, 2, std::chrono::milliseconds(200),
                std::chrono::milliseconds(1), std::chrono::milliseconds(1)},
            &this->role,
            nullptr,
            [this](const TopicRecord& record) {
              this->view.PutRecord(
                  DecodeGroupRecord(record.key, record.offset, *record.value)
                      .value());
            }),
        reconciler({&this->loop, &this->client, &this->engines, &this->prober,
                    &this->view, &this->peers, &this->role, &this->records,
                    "zone", [] {}}) {
    RoutingConfig config;
    config.version = 1;
    ServiceSpec service;
    service.name = "models";
    service.engine.emplace();
    service.engine->models.emplace_back();
    service.engine->models.back().name = "m";
    service.engine->models.back().group_size = 2;
    service.engine->models.back().work_share = 1;
    config.services["models"] = service;
    this->view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
    this->view.MarkTrafficStarted();
    for (const char* id : {"a", "b", "c"}) {
      this->servers.push_back(std::make_unique<FakeEngine>(&this->loop, id));
      this->servers.back()->count_records = [this] {
        return this->store.End("keyed.groups");
      };
      this->view.PutServer(this->servers.back()->Entry(), this->loop.Now());
    }
  }

  ~DriverFixture() { this->loop.UnwindCoroutines(); }

  void RunUntil(Duration bound, const std::function<bool()>& done) {
    RunCoroutine(&this->loop, [&](Coroutine yield) {
      const MonotonicTime deadline = this->loop.Now() + bound;
      while (!done() && this->loop.Now() < deadline) {
        this->loop.Sleep(std::chrono::milliseconds(5), yield);
      }
    });
  }

  bool HasOpenOrder() const {
    return std::any_of(
        this->servers.begin(), this->servers.end(),
        [](const auto& server) { return server->HasOrder("open"); });
  }

  EventLoop loop;
  LoopStore store;
  StoreClient client;
  HttpClient http;
  EngineClient engines;
  FleetView view;
  PeerDirectory peers;
  PlannerRole role;
  ServerProber prober;
  TopicFollower records;
  GroupReconciler reconciler;
  std::vector<std::unique_ptr<FakeEngine>> servers;
};

TEST_CASE(
    "A group is recorded before any order and opened when it is complete") {
  DriverFixture d;
  d.records.Start();
  d.reconciler.Start();
  d.RunUntil(std::chrono::seconds(5), [&] { return d.HasOpenOrder(); });
  REQUIRE(d.HasOpenOrder());
  const GroupStatus& group = d.view.Groups().begin()->second;
  CHECK(group.record.members.size() == 2);
  CHECK(group.record.epoch == 1);
  for (const auto& server : d.servers) {
    if (server->HasOrder("open")) {
      CHECK(server->id == group.record.members.front());
    }
    CHECK((server->orders.empty() || server->records_at_first_order >= 1));
  }
}

TEST_CASE("A group is not opened while a member is not ready") {
  DriverFixture d;
  for (const auto& server : d.servers) {
    server->becomes_ready = server->id != "b";
  }
  d.records.Start();
  d.reconciler.Start();
  d.RunUntil(std::chrono::milliseconds(1500), [&] { return d.HasOpenOrder(); });
  CHECK(!d.HasOpenOrder());
}

TEST_CASE("Without the store no group orders are sent") {
  DriverFixture d;
  d.records.Start();
  d.RunUntil(std::chrono::seconds(5), [&] { return d.records.IsSynced(); });
  d.store.refusal = 503;
  d.reconciler.Start();
  d.RunUntil(std::chrono::milliseconds(700), [] { return false; });
  for (const auto& server : d.servers) {
    CHECK(!server->HasOrder("open"));
    CHECK((server->orders.empty() ||
           server->orders[0]["group"] == "standby." + server->id));
  }
}

}  // namespace
}  // namespace kumquatcart
