#include "soak/soak_world.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

#include "net/http_status.h"
#include "soak/failure_domains.h"
#include "soak/loopback.h"

namespace kumquatcart::soak {

namespace {

constexpr char kServersTopic[] = "keyed.servers";
constexpr char kOperatorTopic[] = "keyed.op";
constexpr char kConfigKey[] = "config";
constexpr char kOtherPlainService[] = "plain-2";
constexpr int kSpreadDomains = 3;  // Failure domains, with changes of routes.
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(1500);
// When callers whose prompts crash servers begin: the first streams of the
// others are answered before.
constexpr Duration kCrashingCallersDelay = std::chrono::milliseconds(1500);
// Where they leave before the server ends, which it does after 0.23 s.
constexpr Duration kLeavesBeforeCrash = std::chrono::milliseconds(150);
// How long a server is away that has ended under a prompt.
constexpr int kMinAwayMs = 600;
constexpr int kMaxAwayMs = 1800;

Json MakeRoute(const std::string& path,
               const std::string& kind,
               const char* service) {
  Json route{{"name", path},
             {"host", kRouteHost},
             {"path_prefix", path},
             {"kind", kind},
             {"timeout_ms", 3000},
             {"target_latency_ms", 400},
             {"service", service},
             {"attempts", kind == "non_idempotent" ? 1 : 2},
             {"resumable", kind == "streaming"}};
  if (kind == "streaming") {
    route["gap_aim_ms"] = 250;
  }
  return route;
}

}  // namespace

SoakWorld::SoakWorld(const SoakSettings& settings)
    : store(&this->loop, settings.names_era),
      settings(settings),
      server_entries([this](const std::string& id,
                            const std::optional<std::string>& value) {
        this->store.Put(kServersTopic, id, value);
      }),
      generator(static_cast<std::minstd_rand::result_type>(
          settings.seed % 2147483646 + 1)),
      plan(settings.seed, {kPlainService, kOtherPlainService}, kCallerKey) {}

Status SoakWorld::Start() {
  this->store_address = FreeLoopbackAddress(&this->loop, kPlatformHost);
  BOOST_OUTCOME_TRY(this->store.Start(this->store_address));
  this->ChangeConfig();
  for (int i = 0; i < this->PlainServers(); ++i) {
    this->AddServer(false);
  }
  for (int i = 0; i < this->settings.engines; ++i) {
    this->AddServer(true);
  }
  for (int i = 0; i < this->settings.entries; ++i) {
    this->entries.push_back(std::make_unique<EntryChild>(
        &this->loop, &this->ledger, &this->limits, &this->backoffs,
        &this->prompts,
        ChildPlaces{this->settings.program, this->settings.directory,
                    this->FailureDomains()},
        i, this->store_address));
    BOOST_OUTCOME_TRY(this->entries.back()->Prepare());
    this->entries.back()->Launch();
  }
  return Ok();
}

std::unique_ptr<SoakCaller> SoakWorld::MakeCaller(int index,
                                                  bool crashes_servers) {
  CallerRules rules{[this] {
                      const std::size_t pick =
                          std::uniform_int_distribution<std::size_t>(
                              0, this->entries.size() - 1)(this->generator);
                      return this->entries[pick]->Callers();
                    },
                    [this] { return this->calling; },
                    this->settings.with_idle_timeouts,
                    this->settings.with_idle_timeouts && index % 2 == 1,
                    [this] { return this->idle; },
                    this->settings.with_framings,
                    &this->retries};
  if (this->settings.with_crashing_prompts) {
    rules.prompts = &this->prompts;
    rules.crashes_servers = crashes_servers;
    if (crashes_servers &&
        this->settings.crash_form == CrashForm::kAfterLeaving) {
      rules.leaves_after = kLeavesBeforeCrash;
    }
  }
  return std::make_unique<SoakCaller>(
      &this->loop, &this->ledger, fmt::format("c{}", index),
      this->settings.seed * 1000 + static_cast<std::uint64_t>(index), rules);
}

void SoakWorld::StartCallers() {
  for (int i = 0; i < this->settings.callers; ++i) {
    this->callers.push_back(this->MakeCaller(i, /*crashes_servers=*/false));
    this->loop.Spawn([caller = this->callers.back().get()](Coroutine yield) {
      caller->Run(yield);
    });
  }
  for (int i = 0; this->settings.with_crashing_prompts &&
                  i < this->settings.crashing_callers;
       ++i) {
    this->crashing_callers.push_back(
        this->MakeCaller(this->settings.callers + i, /*crashes_servers=*/true));
    this->loop.Spawn(
        [this, caller = this->crashing_callers.back().get()](Coroutine yield) {
          this->loop.Sleep(kCrashingCallersDelay, yield);
          caller->Run(yield);
        });
  }
}

void SoakWorld::Replace(ServerStandIn* former) {
  const Duration away =
      std::chrono::milliseconds(std::uniform_int_distribution<int>(
          kMinAwayMs, kMaxAwayMs)(this->generator));
  this->loop.Spawn([this, away, host = former->Host(),
                    forms_groups = former->FormsGroups()](Coroutine yield) {
    this->loop.Sleep(away, yield);
    if (!host->HasServer()) {
      this->StartServer(host, this->NextServerId(), forms_groups);
    }
  });
}

void SoakWorld::SetStoreAway(bool is_away, bool cuts_links) {
  this->store.SetAway(is_away);
  for (const auto& entry : this->entries) {
    if (cuts_links) {
      entry->ReachStore(!is_away);
    }
  }
}

std::set<std::string> SoakWorld::RollStoreBack(Duration age, bool newest_only) {
  StoreStandIn::Topics lost = this->store.RollBack(age);
  for (const StoreRecord& record : lost[kOperatorTopic]) {
    const int number = Json::parse(*record.value).at("version").get<int>();
    if (this->lost_versions.empty()) {
      this->config_ledger.History().NoteLoss(number, this->loop.Now());
    }
    this->lost_versions.emplace_back(number, *record.value);
  }
  while (newest_only && this->lost_versions.size() > 1) {
    this->lost_versions.pop_front();
  }
  std::set<std::string> servers_lost;
  for (const StoreRecord& record : lost[kServersTopic]) {
    servers_lost.insert(record.key);
    this->drains.NoteLoss(record.key);
  }
  return servers_lost;
}

void SoakWorld::RewriteVersion() {
  if (this->lost_versions.empty()) {
    return;
  }
  const auto [number, content] = this->lost_versions.front();
  this->lost_versions.pop_front();
  this->config_ledger.History().NoteConfirmed(number, this->loop.Now());
  this->store.Put(kOperatorTopic, kConfigKey, content);
}

void SoakWorld::RewriteEntry(const std::string& server) {
  const auto found = this->table.find(server);
  if (!this->server_entries.RemoveAgain(server) && found != this->table.end()) {
    found->second->Register();
  }
}

int SoakWorld::FailureDomains() const {
  return this->settings.with_config_changes ? kSpreadDomains : 1;
}

int SoakWorld::PlainServers() const {
  return this->settings.plain_servers *
         (this->settings.with_config_changes ? 2 : 1);
}

std::string SoakWorld::PlainServiceToFill() const {
  int more_of_first = 0;
  for (const ServerStandIn* server : this->Servers(false)) {
    more_of_first += server->Service() == kPlainService ? 1 : -1;
  }
  return this->settings.with_config_changes && more_of_first > 0
             ? kOtherPlainService
             : kPlainService;
}

std::string SoakWorld::ServiceOf(const std::string& server) const {
  const auto found =
      std::find_if(this->servers.begin(), this->servers.end(),
                   [&](const auto& one) { return one->Id() == server; });
  return found == this->servers.end() ? std::string() : (*found)->Service();
}

Json SoakWorld::MakeRoutes(const ConfigVersion& drawn) const {
  Json routes{MakeRoute("/once/", "non_idempotent", kPlainService),
              MakeRoute("/again/", "idempotent", kPlainService),
              MakeRoute("/stream/", "streaming", kModelService)};
  for (int added = 1;
       added <= this->version && !this->settings.with_config_changes; ++added) {
    routes.push_back(
        MakeRoute(VersionPath(added), "idempotent", kPlainService));
  }
  for (const auto& [path, weights] : drawn.routes) {
    Json route = MakeRoute(path, "idempotent", weights.begin()->first.c_str());
    for (const auto& [service, weight] : weights) {
      route["traffic_split"].push_back(
          {{"service", service}, {"weight", weight}});
    }
    if (weights.size() == 1) {
      route.erase("traffic_split");
    } else {
      route.erase("service");
    }
    routes.push_back(std::move(route));
  }
  for (int unused = 0; unused < this->settings.unused_routes; ++unused) {
    routes.push_back(MakeRoute(fmt::format("/unused/{}/", unused), "idempotent",
                               kPlainService));
  }
  return routes;
}

int SoakWorld::ChangeConfig() {
  while (!this->lost_versions.empty()) {
    this->RewriteVersion();
  }
  ++this->version;
  ConfigVersion drawn;
  drawn.keys.insert(kCallerKey);
  if (this->settings.with_config_changes) {
    drawn = this->plan.MakeNext(this->loop.Now());
    this->config_ledger.NoteVersion(drawn);
  } else {
    this->config_ledger.History().NoteConfirmed(this->version,
                                                this->loop.Now());
  }
  const Json engine{{"slots", 8},
                    {"step_ms", 4},
                    {"per_seq_ms", 0.1},
                    {"stride", 6},
                    {"read_per_s", 56000},
                    {"loads_per_s", 5},
                    {"loads_at_once", 4},
                    {"form_ms", 100},
                    {"models",
                     {{{"name", "m"},
                       {"size", this->settings.group_size},
                       {"share", 1.0},
                       {"pace", 1.0},
                       {"load_s", 0.9},
                       {"warm_s", 0.2}}}}};
  Json config{{"version", this->version},
              {"routes", this->MakeRoutes(drawn)},
              {"services",
               {{{"name", kPlainService}, {"max_connections", 100}},
                {{"name", kModelService},
                 {"max_connections", 100},
                 {"engine", engine}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 65536},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", ToMillis(this->idle.newest)}}},
              {"tenants", {{{"name", "org"}, {"api_keys", drawn.keys}}}}};
  if (this->settings.with_config_changes) {
    config["services"].push_back(
        {{"name", kOtherPlainService}, {"max_connections", 100}});
  }
  this->store.Put(kOperatorTopic, kConfigKey, config.dump());
  return this->version;
}

std::string SoakWorld::NextServerId() {
  return fmt::format("i{}", ++this->servers_started);
}

void SoakWorld::AddServer(bool forms_groups) {
  const auto host = std::make_shared<ServerHost>(
      &this->loop, FailureDomainOf(this->hosts++, this->FailureDomains()));
  if (host->Start().has_error()) {
    this->ledger.Accuse("the VM of a server has no address");
    return;
  }
  this->StartServer(host, this->NextServerId(), forms_groups);
}

void SoakWorld::StartServer(const std::shared_ptr<ServerHost>& host,
                            const std::string& id,
                            bool forms_groups) {
  this->servers.push_back(std::make_unique<ServerStandIn>(
      ServerParts{
          &this->loop, &this->server_entries, &this->ledger, &this->limits,
          &this->backoffs, &this->readiness, &this->retries, &this->table,
          this->settings.with_framings,
          this->settings.with_crashing_prompts ? &this->prompts : nullptr,
          [this](ServerStandIn* server) { this->Replace(server); },
          this->settings.with_rollbacks ? &this->drains : nullptr,
          this->settings.crash_form},
      id, forms_groups ? kModelService : this->PlainServiceToFill(),
      forms_groups, host));
  if (this->servers.back()->Start().has_error()) {
    this->ledger.Accuse("a stand-in server could not listen");
  }
}

std::vector<ServerStandIn*> SoakWorld::Servers(bool forms_groups) const {
  std::vector<ServerStandIn*> found;
  for (const auto& server : this->servers) {
    if (server->IsAlive() && !server->IsDraining() &&
        server->FormsGroups() == forms_groups) {
      found.push_back(server.get());
    }
  }
  return found;
}

std::vector<ServerStandIn*> SoakWorld::RequestServers(bool forms_groups) const {
  std::vector<ServerStandIn*> servers = this->Servers(forms_groups);
  servers.erase(std::remove_if(servers.begin(), servers.end(),
                               [forms_groups](const ServerStandIn* server) {
                                 return forms_groups && !server->IsOpenHead();
                               }),
                servers.end());
  return servers;
}

int SoakWorld::SpareServers(bool forms_groups) const {
  return static_cast<int>(this->Servers(forms_groups).size()) -
         (forms_groups ? this->settings.engines : this->PlainServers());
}

void SoakWorld::KeepProcesses(bool restarts) {
  for (const auto& entry : this->entries) {
    entry->Reap();
    if (restarts && !entry->IsRunning()) {
      entry->Launch();
      this->drains.NoteStart(entry->Callers().address().to_string());
    }
  }
}

HttpResponse SoakWorld::Exchange(const TcpEndpoint& address,
                                 const std::string& target,
                                 const std::string& id,
                                 const std::string& key,
                                 Coroutine yield) {
  HttpClient client(&this->loop);
  return client.Exchange(
      address,
      OutgoingRequest{
          "GET",
          target,
          {{"Host", kRouteHost},
           {"X-Request-Id", id},
           {"X-Deadline-Ms", std::to_string(ToMillis(kQuestionTimeout))},
           {"Authorization", "Bearer " + key}},
          ""},
      this->loop.Now() + kQuestionTimeout, Duration{0}, yield);
}

int SoakWorld::AskRoute(const EntryChild& entry,
                        int asked_version,
                        Coroutine yield) {
  const std::string id = this->NextQuestion(entry);
  const HttpResponse reply = this->Exchange(
      entry.Callers(), VersionPath(asked_version) + "x", id, kCallerKey, yield);
  return reply.result == ExchangeResult::kAnswered ? reply.status : 0;
}

ConfigAnswer SoakWorld::AskQuestion(const EntryChild& entry,
                                    const ConfigQuestion& question,
                                    Coroutine yield) {
  ConfigAnswer answer;
  answer.process = fmt::format("{} start {}", entry.Name(), entry.Starts());
  answer.request_id = this->NextQuestion(entry);
  answer.question = question;
  answer.sent_at = this->loop.Now();
  const HttpResponse reply =
      this->Exchange(entry.Callers(), question.path + "x", answer.request_id,
                     question.key, yield);
  answer.ended_at = this->loop.Now();
  if (reply.result == ExchangeResult::kAnswered) {
    answer.status = reply.status;
  }
  for (const std::string& server : this->ledger.RunsOf(answer.request_id)) {
    answer.services.push_back(this->ServiceOf(server));
  }
  return answer;
}

std::string SoakWorld::NextQuestion(const EntryChild& entry) {
  std::string id = fmt::format("q{}", ++this->questions);
  this->ledger.NoteSent(id, RequestKind::kIdempotent,
                        entry.Callers().address().to_string());
  return id;
}

bool SoakWorld::WasCalmSince(EntryChild* entry, MonotonicTime time) const {
  const std::optional<MonotonicTime> store_since = this->store.SoundSince();
  const std::optional<MonotonicTime> link = entry->StoreLink().SoundSince();
  return store_since && *store_since <= time && link && *link <= time &&
         entry->DisturbedAt() <= time && entry->IsRunning() &&
         !entry->IsStopping();
}

bool SoakWorld::IsReady(const EntryChild& entry, Coroutine yield) {
  return this
      ->Exchange(entry.Readiness(), "/api/ready", "ready", kCallerKey, yield)
      .HasResponseStatus(kHttpOk);
}

}  // namespace kumquatcart::soak
