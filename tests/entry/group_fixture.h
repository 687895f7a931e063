// One fabric domain of scripted model servers, and the planner that orders
// them, over HTTP on one event loop.
#ifndef ENTRY_GROUP_FIXTURE_H_
#define ENTRY_GROUP_FIXTURE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "control/content_rules.h"
#include "control/group_reconciler.h"
#include "control/group_record_codec.h"
#include "fakes/loop_server.h"
#include "fakes/loop_store.h"
#include "net/http_head.h"

namespace kumquatcart {

// What all servers of a test have been: the servers that were ready, by group
// and epoch, and the groups that were opened without a ready member.
struct ReadinessLedger {
  std::set<std::tuple<std::string, std::int64_t, std::string>> ready;
  std::vector<std::string> opened_incomplete;
  // The group and epoch that each head serves in.
  std::map<std::string, std::pair<std::string, std::int64_t>> open_heads;
  // Joins of servers while the head of their former group was open.
  std::vector<std::string> joined_twice;
};

// A model server that records the orders it receives. Orders for another server
// are answered with 421; a report is answered whatever server it is meant for.
class FakeEngine {
 public:
  FakeEngine(EventLoop* loop, std::string id, ReadinessLedger* ledger)
      : id(std::move(id)),
        ledger(ledger),
        address(FreeAddress()),
        service(loop, [this](const ParsedRequest& request, Coroutine) {
          return this->Answer(request);
        }) {
    REQUIRE(this->service.Start(this->address).has_value());
  }

  // The entry that the server writes to the store. It has the membership only
  // if the server publishes it.
  BackendServer Entry() const {
    BackendServer server;
    server.id = this->id;
    server.service = "models";
    server.failure_domain = "zone";
    server.fabric_domain = "d";
    server.started_ms = this->states_start ? this->started_ms : 0;
    server.endpoint =
        Endpoint{this->address.address().to_string(), this->address.port()};
    server.loaded_model = this->loaded_model;
    server.staged_models = this->staged_models;
    if (this->publish && !this->group.is_null()) {
      server.membership = GroupMembership{
          this->group["name"], this->group["epoch"], this->group["rank"],
          this->group["state"] == "ready"  ? MembershipState::kReady
          : this->group["state"] == "open" ? MembershipState::kOpen
                                           : MembershipState::kJoining};
    }
    return server;
  }

  // Another start of the server, without memory of the former one.
  void Restart(std::string next_id) {
    this->id = std::move(next_id);
    ++this->started_ms;
    this->group = nullptr;
    this->members.clear();
    this->accepted = 0;
    this->ledger->open_heads.erase(this->id);
  }

  // Carries out an order, as if it had been sent by another VM.
  SimpleHttpResponse Take(const Json& order) {
    if (order.contains("expect") && order["expect"] != this->accepted) {
      return {409, ""};
    }
    if (order["op"] == "join" && !this->group.is_null() &&
        order["epoch"] < this->group["epoch"]) {
      return {412, ""};
    }
    ++this->accepted;
    if (order["op"] == "join") {
      this->Join(order);
    } else if (order["op"] == "open") {
      this->CheckMembers(order);
      this->group["state"] = "open";
      this->ledger->open_heads[this->id] = {order["group"], order["epoch"]};
    } else if (order["op"] == "close") {
      this->group["state"] = "ready";
      this->ledger->open_heads.erase(this->id);
    } else if (order["op"] == "leave") {
      this->group = nullptr;
      this->ledger->open_heads.erase(this->id);
    } else if (order["op"] == "stage") {
      this->staged_models.push_back(order["model"]);
    }
    if (this->publish) {
      this->publish(*this);
    }
    return {202, ""};
  }

  bool HasOrder(const std::string& op) const {
    return std::any_of(this->orders.begin(), this->orders.end(),
                       [&op](const Json& order) { return order["op"] == op; });
  }

  std::string id;
  std::int64_t started_ms = 1'782'000'000'000;
  // Called when the server's membership has changed, if set.
  std::function<void(const FakeEngine&)> publish;
  bool becomes_ready = true;
  bool states_start = true;  // In its entry and reports.
  std::vector<Json> orders;  // Without those for other servers.
  // Number of records in the store when the first order arrived.
  std::function<std::size_t()> count_records = [] { return 0; };
  std::size_t records_at_first_order = 0;

 private:
  SimpleHttpResponse Answer(const ParsedRequest& request) {
    if (request.target == "/api/report") {
      return {200, this->Report().dump()};
    }
    if (FindHeader(request.headers, "X-Expect-Instance") != this->id) {
      return {421, ""};
    }
    const Json order = Json::parse(request.body);
    if (this->orders.empty()) {
      this->records_at_first_order = this->count_records();
    }
    this->orders.push_back(order);
    return this->Take(order);
  }

  Json Report() const {
    Json report{{"models", Json::array()}, {"seq", this->accepted}};
    if (this->states_start) {
      report["born"] = this->started_ms;
    }
    if (!this->group.is_null()) {
      report["group"] = this->group;
    }
    return report;
  }

  void Join(const Json& order) {
    if (!this->group.is_null() && this->group["name"] != order["group"]) {
      const auto head = this->ledger->open_heads.find(this->members.front());
      if (head != this->ledger->open_heads.end() &&
          head->second.first == this->group["name"] &&
          head->second.second == this->group["epoch"]) {
        this->ledger->joined_twice.push_back(
            this->id + " joined " + order["group"].get<std::string>() +
            " while " + head->second.first + " was open");
      }
    }
    this->members = order["members"].get<std::vector<std::string>>();
    const auto own =
        std::find(this->members.begin(), this->members.end(), this->id);
    this->loaded_model = order["model"];
    this->group = {{"name", order["group"]},
                   {"epoch", order["epoch"]},
                   {"rank", own - this->members.begin()},
                   {"state", this->becomes_ready ? "ready" : "joining"}};
    if (this->becomes_ready) {
      this->ledger->ready.emplace(order["group"], order["epoch"], this->id);
    }
  }

  void CheckMembers(const Json& order) const {
    for (const std::string& member : this->members) {
      if (this->ledger->ready.count({order["group"], order["epoch"], member}) ==
          0) {
        this->ledger->opened_incomplete.push_back(
            order["group"].get<std::string>() + " without " + member);
      }
    }
  }

  ReadinessLedger* const ledger;
  const TcpEndpoint address;
  std::int64_t accepted = 0;  // Orders since the start.
  Json group;
  std::vector<std::string> members;  // Of the last join.
  std::string loaded_model;
  std::vector<std::string> staged_models;
  SimpleHttpServer service;
};

// One fabric domain, and one model with groups of two servers at first.
struct GroupFixture {
  explicit GroupFixture(const std::vector<std::string>& ids = {"a", "b", "c"})
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
              this->records_read.push_back(
                  DecodeGroupRecord(record.key, record.offset, *record.value)
                      .value());
              this->view.PutRecord(this->records_read.back());
            },
            GroupContentRules(&this->view)),
        reconciler({&this->loop, &this->client, &this->engines, &this->prober,
                    &this->view, &this->peers, &this->role, &this->records,
                    "zone", [] {}}) {
    this->SetModels({{"m", 2}});
    this->view.MarkTrafficStarted();
    for (const std::string& id : ids) {
      this->servers.push_back(
          std::make_unique<FakeEngine>(&this->loop, id, &this->ledger));
      this->servers.back()->count_records = [this] {
        return this->store.End("keyed.groups");
      };
      this->Register(*this->servers.back());
    }
  }

  ~GroupFixture() { this->loop.UnwindCoroutines(); }
  GroupFixture(const GroupFixture&) = delete;
  GroupFixture& operator=(const GroupFixture&) = delete;

  // Puts a configuration in force with these models and the sizes of their
  // groups. Each model has an equal share of the work.
  void SetModels(const std::vector<std::pair<std::string, int>>& sizes,
                 double loads_per_second = 1000) {
    RoutingConfig config;
    config.version = this->view.Config() ? this->view.Config()->version + 1 : 1;
    ServiceSpec service;
    service.name = "models";
    service.engine.emplace();
    service.engine->loads_per_second = loads_per_second;
    for (const auto& [name, size] : sizes) {
      ModelSpec model;
      model.name = name;
      model.group_size = size;
      model.work_share = 1.0 / static_cast<double>(sizes.size());
      service.engine->models.push_back(model);
    }
    config.services["models"] = service;
    this->view.AdoptConfig(std::make_shared<const RoutingConfig>(config));
  }

  // The entry of `server` arrives.
  void Register(const FakeEngine& server) {
    this->view.PutServer(server.Entry(), this->loop.Now());
  }

  // The entry of `id` has lapsed.
  void Lapse(const std::string& id) {
    this->view.RemoveServer(id, this->loop.Now());
    this->view.ExpireServers(this->loop.Now());
  }

  void Start() {
    this->prober.Start();
    this->records.Start();
    this->reconciler.Start();
  }

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

  // The only group. Precondition: there is a record of it.
  const GroupStatus& Group() const {
    return this->view.Groups().begin()->second;
  }

  // The first group of the model with members; null if there is none.
  const GroupStatus* FindGroupOfModel(const std::string& model) const {
    for (const auto& entry : this->view.Groups()) {
      const GroupRecord& record = entry.second.record;
      if (record.model == model && !record.members.empty()) {
        return &entry.second;
      }
    }
    return nullptr;
  }

  bool HasOpenGroupOfModel(const std::string& model, std::size_t size) const {
    const GroupStatus* group = this->FindGroupOfModel(model);
    return group != nullptr && group->open &&
           group->record.members.size() == size;
  }

  // Precondition: there is a server with this id.
  FakeEngine* Find(const std::string& id) const {
    return std::find_if(this->servers.begin(), this->servers.end(),
                        [&id](const auto& server) { return server->id == id; })
        ->get();
  }

  // Whether there is an open group of exactly these members, in any order.
  bool HasOpenGroupOf(std::vector<std::string> members) const {
    std::sort(members.begin(), members.end());
    return std::any_of(this->view.Groups().begin(), this->view.Groups().end(),
                       [&members](const auto& entry) {
                         std::vector<std::string> listed =
                             entry.second.record.members;
                         std::sort(listed.begin(), listed.end());
                         return entry.second.open && listed == members;
                       });
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
  ReadinessLedger ledger;
  std::vector<GroupRecord> records_read;  // In order.
  std::vector<std::unique_ptr<FakeEngine>> servers;
};

}  // namespace kumquatcart

#endif  // ENTRY_GROUP_FIXTURE_H_
