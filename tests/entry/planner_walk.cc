#include "entry/planner_walk.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/contains.h"

namespace kumquatcart {

namespace {

constexpr std::size_t kServers = 10;
constexpr int kAnsweredLate = 503;  // The caller has left.
constexpr int kWrongServer = 421;
constexpr Duration kUsualStoreDelay = std::chrono::milliseconds(5);
constexpr Duration kSlowestStore = std::chrono::milliseconds(150);
constexpr Duration kSilence = std::chrono::seconds(1);
constexpr std::size_t kTimelineLines = 60;

std::shared_ptr<const RoutingConfig> MakeConfig() {
  RoutingConfig config;
  config.version = 1;
  ServiceSpec service;
  service.name = "models";
  service.engine.emplace();
  service.engine->loads_per_second = 1000;
  service.engine->forming = std::chrono::milliseconds(50);
  for (const auto& [name, size] : {std::pair("m", 2), std::pair("n", 3)}) {
    ModelSpec model;
    model.name = name;
    model.group_size = size;
    model.work_share = 0.5;
    service.engine->models.push_back(model);
  }
  config.services["models"] = service;
  return std::make_shared<const RoutingConfig>(config);
}

const char* ToString(JoinFault fault) {
  switch (fault) {
    case JoinFault::kHeadServes:
      return "its head serves";
    case JoinFault::kHeadServesOther:
      return "its head serves under another epoch";
    case JoinFault::kHeadServesLeft:
      return "the head of the group that it has left serves";
  }
  return "";
}

}  // namespace

// An entry VM as far as it plans.
struct PlannerWalk::Planner {
  Planner(EventLoop* loop,
          const TcpEndpoint& store,
          const std::shared_ptr<const RoutingConfig>& config)
      : client(loop, store),
        http(loop),
        engines(loop, &this->http),
        peers("node", "zone"),
        role(loop, &this->peers, &this->client, "zone"),
        prober(
            loop,
            &this->engines,
            &this->view,
            &this->role,
            [](const PeerState&) {},
            [] {}),
        records(
            loop,
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
            },
            GroupContentRules(&this->view)),
        reconciler({loop, &this->client, &this->engines, &this->prober,
                    &this->view, &this->peers, &this->role, &this->records,
                    "zone", [] {}}) {
    this->view.AdoptConfig(config);
    this->view.MarkTrafficStarted();
  }

  StoreClient client;
  HttpClient http;
  EngineClient engines;
  FleetView view;
  PeerDirectory peers;
  PlannerRole role;
  ServerProber prober;
  TopicFollower records;
  GroupReconciler reconciler;
};

// A server, and an address of it for each planner.
struct PlannerWalk::Host {
  Host(std::string id,
       std::int64_t started_ms,
       WalkLedger* ledger,
       std::function<void(const WalkServer&)> changed)
      : server(std::move(id), started_ms, ledger, std::move(changed)) {}

  WalkServer server;
  std::vector<TcpEndpoint> addresses;
  std::vector<std::unique_ptr<SimpleHttpServer>> services;
  std::vector<MonotonicTime> cut_until;
  bool has_ended = false;
};

PlannerWalk::PlannerWalk(EventLoop* event_loop, WalkSettings walk_settings)
    : loop(event_loop),
      settings(walk_settings),
      domain(fmt::format("d{}", walk_settings.seed)),
      started_at(event_loop->Now()),
      schedule(walk_settings.seed),
      random(walk_settings.seed),
      store(event_loop),
      config(MakeConfig()),
      slots(walk_settings.planners + 1),
      deliveries(walk_settings.planners),
      held_until(walk_settings.planners),
      slowest_store(kUsualStoreDelay),
      is_disturbed(walk_settings.is_disturbed) {
  this->store.reads_wait = true;
  this->ledger.find = [this](const std::string& id) -> WalkServer* {
    for (const auto& host : this->hosts) {
      if (host->server.id == id) {
        return &host->server;
      }
    }
    return nullptr;
  };
  this->ledger.joined = [this](const WalkServer& server,
                               const WalkMembership& former, const Json& order,
                               JoinFault fault) {
    this->NoteFault(server, former, order, fault);
  };
  for (std::size_t i = 0; i < kServers; ++i) {
    this->AddServer();
  }
}

PlannerWalk::~PlannerWalk() = default;

void PlannerWalk::Trace(const std::string& text) {
  this->trace.push_back(fmt::format(
      "{:6} {}", ToMillis(this->loop->Now() - this->started_at), text));
}

void PlannerWalk::AddServer() {
  constexpr std::int64_t kFirstStartMs = 1'782'000'000'000;
  const std::size_t number = this->hosts.size();
  this->hosts.push_back(std::make_unique<Host>(
      fmt::format("{}s{}", this->domain, number),
      kFirstStartMs + static_cast<std::int64_t>(number) * 1000, &this->ledger,
      [this](const WalkServer& server) { this->Publish(server, false); }));
  Host* host = this->hosts.back().get();
  for (std::size_t slot = 0; slot < this->settings.planners; ++slot) {
    host->services.push_back(std::make_unique<SimpleHttpServer>(
        this->loop,
        [this, host, slot](const ParsedRequest& request, Coroutine yield) {
          return this->Handle(host, slot, request, yield);
        }));
    do {
      host->addresses.push_back(FreeAddress());
    } while (host->services.back()->Start(host->addresses.back()).has_error() &&
             (host->addresses.pop_back(), true));
  }
  host->cut_until.resize(this->settings.planners);
  host->server.Start(this->loop->Now());
}

void PlannerWalk::Publish(const WalkServer& server, bool is_removed) {
  for (std::size_t slot = 0; slot < this->settings.planners; ++slot) {
    this->Deliver(slot, server, is_removed);
  }
}

void PlannerWalk::Deliver(std::size_t slot,
                          const WalkServer& server,
                          bool is_removed) {
  constexpr Duration kUsualDelay = std::chrono::milliseconds(60);
  constexpr Duration kLongestDelay = std::chrono::seconds(3);
  const auto host = std::find_if(
      this->hosts.begin(), this->hosts.end(),
      [&server](const auto& one) { return &one->server == &server; });
  Delivery delivery;
  delivery.entry = server.Entry();
  delivery.entry.fabric_domain = this->domain;
  const TcpEndpoint& address = (*host)->addresses[slot];
  delivery.entry.endpoint =
      Endpoint{address.address().to_string(), address.port()};
  delivery.is_removed = is_removed;
  delivery.due = std::max(this->loop->Now(), this->held_until[slot]) +
                 this->random.Time(Duration{1},
                                   this->is_disturbed && this->random.IsOneOf(2)
                                       ? kLongestDelay
                                       : kUsualDelay);
  std::deque<Delivery>& queue = this->deliveries[slot][server.id];
  if (!queue.empty()) {
    delivery.due = std::max(delivery.due, queue.back().due);
  }
  queue.push_back(std::move(delivery));
}

SimpleHttpResponse PlannerWalk::Handle(Host* host,
                                       std::size_t slot,
                                       const ParsedRequest& request,
                                       Coroutine yield) {
  if (!host->server.IsUp() || this->loop->Now() < host->cut_until[slot]) {
    this->loop->Sleep(kSilence, yield);
    return {kAnsweredLate, ""};
  }
  this->loop->Sleep(
      this->random.Time(Duration{1}, std::chrono::milliseconds(10)), yield);
  if (FindHeader(request.headers, "X-Expect-Instance") != host->server.id) {
    return {kWrongServer, ""};
  }
  if (request.target == "/api/report") {
    return {200, host->server.Report(this->loop->Now()).dump()};
  }
  return this->HandleOrder(host, slot, Json::parse(request.body), yield);
}

SimpleHttpResponse PlannerWalk::HandleOrder(Host* host,
                                            std::size_t slot,
                                            const Json& order,
                                            Coroutine yield) {
  constexpr int kFates = 100;
  constexpr int kLostOrders = 7;
  constexpr int kLostAnswers = 15;
  constexpr int kLateOrders = 30;
  ++this->result.orders;
  this->result.joins += order["op"] == "join" ? 1 : 0;
  const int life = host->server.Life();
  const int fate = this->is_disturbed
                       ? static_cast<int>(this->random.Below(kFates))
                       : kFates;
  if (fate < kLostOrders) {
    this->Trace(
        fmt::format("p{} {} {} lost", slot, host->server.id, order.dump()));
  } else if (fate < kLostAnswers) {
    this->Apply(host, slot, order, "answer lost");
  } else if (fate < kLateOrders) {
    this->Trace(fmt::format("p{} {} {} will be late", slot, host->server.id,
                            order.dump()));
    this->loop->Sleep(this->random.Time(std::chrono::milliseconds(300),
                                        std::chrono::seconds(2)),
                      yield);
    if (host->server.IsUp() && host->server.Life() == life) {
      this->Apply(host, slot, order, "late");
    }
    return {kAnsweredLate, ""};
  } else {
    return {host->server.IsUp() ? this->Apply(host, slot, order, "answered")
                                : kAnsweredLate,
            ""};
  }
  this->loop->Sleep(kSilence, yield);
  return {kAnsweredLate, ""};
}

int PlannerWalk::Apply(Host* host,
                       std::size_t slot,
                       const Json& order,
                       const char* way) {
  constexpr int kConflict = 409;
  this->order_slot = slot;
  this->order_way = way;
  const std::int64_t accepted = host->server.OrdersAccepted();
  const int status = host->server.Take(order, this->loop->Now());
  this->result.conflicts += status == kConflict && order.contains("expect") &&
                                    order["expect"] != accepted
                                ? 1
                                : 0;
  this->Trace(fmt::format("p{} {} {} {}: {}", slot, host->server.id,
                          order.dump(), way, status));
  return status;
}

void PlannerWalk::NoteFault(const WalkServer& server,
                            const WalkMembership& former,
                            const Json& order,
                            JoinFault fault) {
  ++this->result.faults[fault];
  const std::string joined = order["group"];
  const std::int64_t epoch = order["epoch"];
  const auto lists = [&](const FleetView& view, const std::string& group,
                         std::int64_t at) {
    const GroupStatus* status = view.FindGroup(group);
    return status != nullptr && status->record.epoch == at &&
           Contains(status->record.members, server.id);
  };
  const FleetView& present = this->slots.back()->view;
  const FleetView& planned = this->slots[this->order_slot]->view;
  const BackendServer* known = planned.FindServer(server.id);
  const std::string entry =
      known == nullptr ? "none"
      : !known->membership
          ? fmt::format("{} orders, in no group", known->orders_accepted)
          : fmt::format("{} orders, {}@{} {}", known->orders_accepted,
                        known->membership->group, known->membership->epoch,
                        kumquatcart::ToString(known->membership->state));
  const bool is_old =
      known != nullptr && known->orders_accepted < server.OrdersAccepted();
  const bool lists_both = lists(present, former.group, former.epoch) &&
                          lists(present, joined, epoch);
  std::string text = fmt::format(
      "FAULT {} joined {}@{} by p{} ({}), from {}@{}: {}. Cause: {}. "
      "Records list it in the former group: {}, in the joined one: {}. Entry "
      "at the planner: {}, of {} orders",
      server.id, joined, epoch, this->order_slot, this->order_way, former.group,
      former.epoch, ToString(fault),
      lists_both ? "two records"
      : is_old   ? "outdated entry"
                 : "head not closed",
      lists(present, former.group, former.epoch), lists(present, joined, epoch),
      entry, server.OrdersAccepted());
  this->Trace(text);
  const std::string head = former.members.front();
  std::vector<std::string> lines;
  for (const std::string& line : this->trace) {
    const auto mentions = [&line](const std::string& word) {
      return line.find(word + "\"") != std::string::npos ||
             line.find(word + " ") != std::string::npos;
    };
    if (mentions(server.id) || mentions(former.group) || mentions(joined)) {
      lines.push_back(line);
    }
  }
  const std::size_t first =
      lines.size() > kTimelineLines ? lines.size() - kTimelineLines : 0;
  for (std::size_t i = first; i < lines.size(); ++i) {
    text += "\n  " + lines[i];
  }
  this->result.details.push_back(std::move(text));
}

void PlannerWalk::StartPlanner(std::size_t slot) {
  if (this->slots[slot] != nullptr) {
    this->slots[slot]->reconciler.Stop();
    this->deliveries[slot].clear();
  }
  this->planners.push_back(std::make_unique<Planner>(
      this->loop, this->store.Address(), this->config));
  Planner* planner = this->planners.back().get();
  this->slots[slot] = planner;
  planner->records.Start();
  if (slot == this->settings.planners) {
    return;  // The observer.
  }
  planner->prober.Start();
  planner->reconciler.Start();
  for (const auto& host : this->hosts) {
    if (host->server.IsUp()) {
      this->Deliver(slot, host->server, false);
    }
  }
}

void PlannerWalk::Tick() {
  const MonotonicTime now = this->loop->Now();
  this->store.answer_delay =
      this->random.Time(std::chrono::milliseconds(1), this->slowest_store);
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    this->hosts[i]->server.Tick(now);
  }
  for (std::size_t slot = 0; slot < this->settings.planners; ++slot) {
    FleetView* view = &this->slots[slot]->view;
    for (auto& [id, queue] : this->deliveries[slot]) {
      while (!queue.empty() && queue.front().due <= now) {
        const Delivery& delivery = queue.front();
        if (delivery.is_removed) {
          view->RemoveServer(id, now);
          view->NoteRemoval(id, now);
        } else {
          view->PutServer(delivery.entry, now);
        }
        queue.pop_front();
      }
    }
    view->ExpireServers(now);
  }
  this->CountListedTwice();
}

void PlannerWalk::CountListedTwice() {
  const FleetView& view = this->slots.back()->view;
  if (view.ChangeCount() == this->counted_changes) {
    return;
  }
  this->counted_changes = view.ChangeCount();
  std::set<std::pair<std::string, std::int64_t>> listed;  // Starts of servers.
  std::set<std::string> twice;
  for (const auto& entry : view.Groups()) {
    const GroupRecord& record = entry.second.record;
    for (std::size_t rank = 0; rank < record.members.size(); ++rank) {
      const std::string& id = record.members[rank];
      if (!listed.emplace(id, record.member_starts[rank]).second &&
          twice.insert(id).second && this->listed_twice.count(id) == 0) {
        ++this->result.listed_twice;
        this->Trace(
            fmt::format("{} is listed twice, in {} too", id, entry.first));
      }
    }
  }
  this->listed_twice = std::move(twice);
}

void PlannerWalk::Cut(Host* host, std::size_t slot, Duration time) {
  this->Trace(fmt::format("p{} {} is cut off for {} ms", slot, host->server.id,
                          ToMillis(time)));
  host->cut_until[slot] = this->loop->Now() + time;
  this->slots[slot]->prober.Probe({host->server.id});
}

void PlannerWalk::RestartServer(Host* host) {
  const bool ends = this->schedule.IsOneOf(3);
  this->Trace(
      fmt::format("{} {}", host->server.id, ends ? "ends" : "starts again"));
  host->server.Stop();
  if (ends) {
    host->has_ended = true;
    this->Publish(host->server, true);
  }
  const Duration down = this->schedule.Time(std::chrono::milliseconds(100),
                                            std::chrono::milliseconds(900));
  this->loop->Spawn([this, host, ends, down](Coroutine inner) {
    this->loop->Sleep(down, inner);
    if (ends) {
      this->AddServer();
    } else {
      host->server.Start(this->loop->Now());
    }
  });
}

void PlannerWalk::DisturbOnce() {
  constexpr int kActions = 14;
  const std::size_t slot = this->schedule.Below(this->settings.planners);
  Host* host = this->hosts[this->schedule.Below(this->hosts.size())].get();
  const int action = static_cast<int>(this->schedule.Below(kActions));
  const Duration time = this->schedule.Time(std::chrono::milliseconds(300),
                                            std::chrono::seconds(3));
  if (action < 3) {
    if (host->server.IsUp()) {
      this->RestartServer(host);
    }
  } else if (!this->is_disturbed) {
    return;
  } else if (action < 6) {
    this->Cut(host, slot, time);
  } else if (action < 8) {
    for (const auto& one : this->hosts) {
      if (this->schedule.IsOneOf(2)) {
        this->Cut(one.get(), slot, time);
      }
    }
  } else if (action < 9) {
    this->slowest_store =
        this->schedule.Time(std::chrono::milliseconds(10), kSlowestStore);
  } else if (action < 12) {
    this->Trace(
        fmt::format("p{} gets no entries for {} ms", slot, ToMillis(time)));
    this->held_until[slot] = this->loop->Now() + time;
  } else if (action < 13) {
    this->Trace(fmt::format("p{} starts again", slot));
    this->StartPlanner(slot);
  }
}

void PlannerWalk::Disturb(Coroutine yield) {
  const MonotonicTime end = this->started_at + this->settings.duration;
  while (this->loop->Now() < end) {
    this->loop->Sleep(this->is_disturbed
                          ? this->schedule.Time(std::chrono::milliseconds(20),
                                                std::chrono::milliseconds(300))
                          : this->schedule.Time(std::chrono::milliseconds(100),
                                                std::chrono::milliseconds(600)),
                      yield);
    this->DisturbOnce();
  }
}

std::string PlannerWalk::Missing() const {
  constexpr std::size_t kSmallestGroup = 2;
  std::set<std::string> members;
  for (const auto& entry : this->slots.back()->view.Groups()) {
    const GroupRecord& record = entry.second.record;
    if (record.members.empty()) {
      continue;
    }
    for (const std::string& id : record.members) {
      const WalkServer* server = this->ledger.find(id);
      if (server == nullptr || !server->IsIn(entry.first, record.epoch)) {
        return fmt::format("{} is not in {}@{}", id, entry.first, record.epoch);
      }
      members.insert(id);
    }
    const auto& head = this->ledger.find(record.members.front())->Membership();
    if (head->rank != 0 || head->state != MembershipState::kOpen) {
      return fmt::format("{}@{} is {}", entry.first, record.epoch,
                         kumquatcart::ToString(head->state));
    }
  }
  std::size_t up = 0;
  for (const auto& host : this->hosts) {
    up += host->server.IsUp() ? 1 : 0;
  }
  const std::size_t reserve = static_cast<std::size_t>(ReserveSize(up)) + 1;
  return up - members.size() < reserve / 2 + kSmallestGroup
             ? std::string()
             : fmt::format("{} of {} servers are in no group",
                           up - members.size(), up);
}

void PlannerWalk::Run(Coroutine yield) {
  for (std::size_t slot = 0; slot <= this->settings.planners; ++slot) {
    this->StartPlanner(slot);
  }
  this->loop->Spawn([this](Coroutine inner) {
    while (!this->has_ended) {
      this->Tick();
      this->loop->Sleep(kTickInterval, inner);
    }
  });
  this->Disturb(yield);
  this->Trace("end of the disturbances");
  this->is_disturbed = false;
  this->slowest_store = kUsualStoreDelay;
  const MonotonicTime now = this->loop->Now();
  for (const auto& host : this->hosts) {
    host->cut_until.assign(this->settings.planners, now);
  }
  this->held_until.assign(this->settings.planners, now);
  for (auto& queues : this->deliveries) {
    for (auto& [id, queue] : queues) {
      for (Delivery& delivery : queue) {
        delivery.due = now;
      }
    }
  }
  // Servers that are starting again have done so then.
  this->loop->Sleep(std::chrono::seconds(1), yield);
  do {
    this->loop->Sleep(std::chrono::milliseconds(50), yield);
    this->result.unrecovered = this->Missing();
  } while (!this->result.unrecovered.empty() &&
           this->loop->Now() < now + kRecoveryTime);
  if (this->result.unrecovered.empty()) {
    this->result.recovered_after = this->loop->Now() - now;
  }
  this->result.opened_incomplete = this->ledger.opened_incomplete;
  for (auto& planner : this->planners) {
    planner->reconciler.Stop();
  }
  this->has_ended = true;
}

}  // namespace kumquatcart
