#include "entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <random>

#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/content_rules.h"
#include "control/group_record_codec.h"
#include "control/node_record_codec.h"
#include "entry/caller_session.h"
#include "entry/entry_constants.h"
#include "model/socket_address.h"
#include "net/http_status.h"
#include "platform/caller_codec.h"
#include "platform/server_decoder.h"

namespace kumquatcart {

namespace {

// Interval at which expired servers, stale reports and idle connections are
// removed.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(250);
// Time from the stop signal until new connections are no longer accepted: the
// platform's load balancer probes once a second and removes a VM after two
// failed probes.
constexpr Duration kStopAcceptingDelay = std::chrono::milliseconds(3200);
// Time from the stop signal until idle connections are closed. Callers who then
// open new connections are directed to other VMs.
constexpr Duration kStopIdleCloseDelay = std::chrono::milliseconds(2100);
// Time after which an entry VM that sends no digests is taken for gone. Until
// then it may be cut off from this one, or about to start again, and keeps its
// share of the retry budget.
constexpr Duration kMaxNodeAbsence = std::chrono::minutes(10);
// Part of the stop's grace period in which no server is waited for, and part of
// that in which the last answers are sent.
constexpr Duration kStopGraceMargin = std::chrono::milliseconds(500);
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(200);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
// Readers per failure domain of the store's topics. The configuration must take
// effect on every VM within its bound even when a reader fails, or a peer that
// receives it from that reader, so it has more readers; in small deployments
// every VM is one. Servers change often and many at a time; the removal of a
// server must reach every VM within its bound. No operation waits for the other
// topics.
constexpr int kOperatorReaders = 4;
constexpr int kOtherReaders = 2;
constexpr Duration kShortPause = std::chrono::milliseconds(40);
constexpr Duration kBatchPause = std::chrono::milliseconds(250);
constexpr Duration kStandbyPause = std::chrono::milliseconds(800);
constexpr Duration kReadWait = std::chrono::milliseconds(3500);
constexpr Duration kServersReadWait = std::chrono::milliseconds(1200);
constexpr FollowerSettings kGroupsTopic{StoreTopic::kGroups, kOtherReaders,
                                        kReadWait, kShortPause, kStandbyPause};
constexpr FollowerSettings kNodesTopic{StoreTopic::kNodes, kOtherReaders,
                                       kReadWait, kBatchPause, kStandbyPause};
// Longest time for which decoding the configuration holds up requests.
constexpr Duration kMaxDecodeStep = std::chrono::milliseconds(10);
// Longest time for which the other topics wait for the nodes' one, which tells
// whether this VM reads them from the store.
constexpr Duration kNodesTopicWait = std::chrono::milliseconds(1000);
constexpr Duration kNodesTopicPollInterval = std::chrono::milliseconds(5);
// Time in which a running server replaces an entry that cannot be decoded:
// three report intervals, after which the platform removes the entry of a
// silent one.
constexpr Duration kEntryRewriteTime = std::chrono::milliseconds(3600);
// Delay between attempts to publish the node record of this process.
constexpr Duration kNodeRecordRetryDelay = std::chrono::milliseconds(500);

// Time in which the platform removes the entries of servers that are gone.
constexpr Duration kStaleEntryTime = std::chrono::milliseconds(5000);
// Time over which the entry VMs write their node records again.
constexpr int kMaxNodeRecordDelayMs = 2000;
// Time after the start in which announced peers are awaited.
constexpr Duration kPeerIntroductionTime = std::chrono::milliseconds(1000);

// In a digest: the topic has not been read in the digest's era.
constexpr std::int64_t kNotRead = -1;

// Far from those of earlier processes of the node.
std::int64_t DrawFirstSlotId() {
  constexpr unsigned kIdsPerProcessBits = 24;
  return (std::int64_t{std::random_device{}()} + 1) << kIdsPerProcessBits;
}

// The wait of a read of a topic whose changes must take effect within `bound`.
// A read that is lost, and repeated after its wait, must not exceed the bound.
Duration ReadWaitWithin(Duration bound, Duration longest) {
  return std::min(bound / 2, longest);
}

FollowerSettings OperatorTopicSettings(const ProcessSettings& settings) {
  return {StoreTopic::kOperator, kOperatorReaders,
          ReadWaitWithin(settings.propagation_bound, kReadWait), kShortPause,
          kShortPause};
}

FollowerSettings ServersTopicSettings(const ProcessSettings& settings) {
  return {StoreTopic::kServers, kOtherReaders,
          ReadWaitWithin(settings.drain_bound, kServersReadWait), kBatchPause,
          kStandbyPause};
}

RetryLimits BoundsOf(const ProcessSettings& settings) {
  return {settings.retry_ratio, settings.retry_base, settings.retry_window};
}

}  // namespace

EntryProcess::EntryProcess(ProcessSettings initial, std::string settings_path)
    : settings(std::move(initial)),
      settings_path(std::move(settings_path)),
      signals(this->loop.Context(), SIGTERM, SIGINT, SIGHUP),
      store(&this->loop, ToTcpEndpoint(this->settings.store)),
      record_client(&this->loop),
      record_service(&this->metrics, this->settings.link_bytes_per_second),
      engine_http(&this->loop, kMaxEngineAnswerBytes),
      engines(&this->loop, &this->engine_http),
      peer_loads(ServerLoadCounters{&this->load, &this->unread_tokens},
                 this->settings.failure_domain),
      pool(&this->loop),
      peers(this->settings.node_name,
            this->settings.failure_domain,
            this->settings.cores),
      role(&this->loop,
           &this->peers,
           &this->store,
           this->settings.failure_domain),
      prober(
          &this->loop,
          &this->engines,
          &this->view,
          &this->role,
          [this](const PeerState& peer) { this->digests.SendDigestTo(peer); },
          [this] { this->OnFleetChanged(); }),
      permits(&this->loop,
              &this->peers,
              &this->digests,
              [this] { return this->context.is_stopping; }),
      limiter(this->settings.node_name,
              &this->permits,
              &this->metrics,
              std::random_device{}(),
              {this->settings.cold_factor, this->settings.cold_extra},
              {[this] { this->OnGateOpened(); },
               [this] { this->digests.SendToAll(); }}),
      gate(&this->permits,
           &this->load,
           &this->limiter,
           &this->metrics,
           std::random_device{}(),
           [this] { this->OnGateOpened(); }),
      prompt_exchange(&this->loop,
                      &this->engines,
                      &this->peers,
                      &this->digests),
      prompts(&this->loop,
              this->settings.node_name,
              &this->prompt_exchange,
              &this->metrics,
              std::random_device{}()),
      shared_retry_budget(BoundsOf(this->settings), this->started_at),
      slot_exchange(&this->loop,
                    &this->peers,
                    &this->digests,
                    [this] { return this->context.is_stopping; }),
      slots(this->settings.node_name,
            &this->slot_exchange,
            &this->metrics,
            DrawFirstSlotId()),
      group_balancer([this] { return this->loop.Now(); },
                     &this->view,
                     ServerLoadCounters{&this->load, &this->unread_tokens},
                     &this->gate,
                     &this->slots,
                     this->settings.failure_domain),
      slot_coordinator(this->settings.node_name,
                       this->settings.failure_domain,
                       &this->slot_exchange,
                       &this->group_balancer,
                       ServerLoadCounters{&this->load, &this->unread_tokens},
                       [this] { return this->HasFleetState(); }),
      plain_balancer(&this->loop,
                     &this->view,
                     ServerLoadCounters{&this->load, &this->unread_tokens},
                     &this->gate,
                     this->settings.failure_domain),
      stall_detector(&this->loop, &this->view, &this->prober),
      config_loader(&this->loop,
                    kMaxDecodeStep,
                    [this](RoutingConfig config) {
                      return this->AdoptConfig(std::move(config));
                    }),
      operator_topic(
          &this->loop,
          &this->store,
          OperatorTopicSettings(this->settings),
          &this->role,
          this->MakePeerFetcher(StoreTopic::kOperator),
          [this](const TopicRecord& r) { this->ApplyOperatorRecord(r); },
          ConfigContentRules(&this->store,
                             &this->view,
                             [this](const std::string& text) {
                               this->config_loader.Load({text, kRetainedOnly});
                             })),
      servers_topic(
          &this->loop,
          &this->store,
          ServersTopicSettings(this->settings),
          &this->role,
          this->MakePeerFetcher(StoreTopic::kServers),
          [this](const TopicRecord& r) { this->ApplyServer(r); },
          ServerContentRules(
              &this->loop,
              &this->store,
              &this->view,
              [this](const TopicRecord& r) { this->ApplyServer(r); })),
      groups_topic(
          &this->loop,
          &this->store,
          kGroupsTopic,
          &this->role,
          this->MakePeerFetcher(StoreTopic::kGroups),
          [this](const TopicRecord& r) { this->ApplyGroup(r); },
          GroupContentRules(&this->view)),
      nodes_topic(&this->loop,
                  &this->store,
                  kNodesTopic,
                  &this->role,
                  this->MakePeerFetcher(StoreTopic::kNodes),
                  [this](const TopicRecord& r) { this->ApplyNode(r); }),
      reconciler({&this->loop, &this->store, &this->engines, &this->prober,
                  &this->view, &this->peers, &this->role, &this->groups_topic,
                  this->settings.failure_domain,
                  [this] { this->OnFleetChanged(); }}),
      digests(
          &this->loop,
          &this->peers,
          [this] { return this->ComposeDigest(); },
          [this](const NodeDigest& digest) { this->HandleDigest(digest); }),
      callers(&this->loop,
              [this](boost::asio::ip::tcp::socket socket) {
                this->AcceptCaller(std::move(socket));
              }),
      readiness(&this->loop,
                [this](const ParsedRequest&, Coroutine) {
                  return this->AnswerReadiness();
                }),
      metrics_service(
          &this->loop,
          [this](const ParsedRequest&, Coroutine) {
            return SimpleHttpResponse{kHttpOk, this->metrics.Serialize()};
          }),
      peer_service(&this->loop,
                   [this](const ParsedRequest& request, Coroutine yield) {
                     return this->HandlePeerRequest(request, yield);
                   }) {
  this->loop.Monitor()->SetMetrics(&this->metrics);
  this->store.SetMetrics(&this->metrics);
  this->store.SetEraListener([this] { this->OnEraChanged(); });
  this->store.SetRelays([this] {
    std::vector<TcpEndpoint> relays;
    for (const Endpoint& peer : this->peers.FindStoreRelays(this->loop.Now())) {
      relays.push_back(ToTcpEndpoint(peer));
    }
    return relays;
  });
  this->context.loop = &this->loop;
  this->context.regions = this->settings.regions;
  this->context.failure_domain = this->settings.failure_domain;
  this->context.view = &this->view;
  this->context.prober = &this->prober;
  this->context.pool = &this->pool;
  this->context.limiter = &this->limiter;
  this->context.request_memory = &this->request_memory;
  this->context.max_buffered_answer_bytes = this->memory_plan.answer_bytes;
  this->context.gate = &this->gate;
  this->context.prompts = &this->prompts;
  this->digests.SetMessageListener([this](const std::string& bytes) {
    return SlotExchange::HandleDatagram(bytes, &this->slots,
                                        &this->slot_coordinator) ||
           PromptExchange::HandleDatagram(bytes, &this->prompts) ||
           PermitExchange::HandleDatagram(bytes, &this->limiter);
  });
  this->context.group_balancer = &this->group_balancer;
  this->context.plain_balancer = &this->plain_balancer;
  this->context.stall_detector = &this->stall_detector;
  this->context.shared_retry_budget = &this->shared_retry_budget;
  this->context.metrics = &this->metrics;
  this->context.has_fleet_state = [this] { return this->HasFleetState(); };
  this->context.config_read_at = [this] {
    return this->operator_topic.LastReadAt();
  };
}

Status EntryProcess::Start() {
  BOOST_OUTCOME_TRY(
      this->readiness.Start(ToTcpEndpoint(this->settings.readiness)));
  BOOST_OUTCOME_TRY(this->callers.Start(ToTcpEndpoint(this->settings.callers)));
  BOOST_OUTCOME_TRY(
      this->metrics_service.Start(ToTcpEndpoint(this->settings.metrics)));
  BOOST_OUTCOME_TRY(
      this->peer_service.Start(ToTcpEndpoint(this->settings.peers)));
  BOOST_OUTCOME_TRY(this->digests.Start(this->settings.peers));
  this->loop.Spawn([this](Coroutine yield) { this->StartFollowers(yield); });
  this->prober.Start();
  this->stall_detector.Start();
  this->prompts.Start();
  this->slot_exchange.StartReports(&this->slots);
  this->reconciler.Start();
  this->loop.Spawn([this](Coroutine yield) { this->PublishNodeRecord(yield); });
  this->loop.Spawn([this](Coroutine yield) { this->RunMaintenance(yield); });
  this->WaitForSignal();
  LogInfo("started", {{"node", this->settings.node_name},
                      {"failure_domain", this->settings.failure_domain},
                      {"callers", this->settings.callers.ToString()}});
  return Ok();
}

std::vector<TopicFollower*> EntryProcess::Followers() {
  // Indexed by StoreTopic.
  return {&this->operator_topic, &this->servers_topic, &this->groups_topic,
          &this->nodes_topic};
}

void EntryProcess::StartFollowers(Coroutine yield) {
  this->nodes_topic.Start();
  const MonotonicTime deadline = this->loop.Now() + kNodesTopicWait;
  while (!this->nodes_topic.IsSynced() && this->loop.Now() < deadline) {
    this->loop.Sleep(kNodesTopicPollInterval, yield);
  }
  this->operator_topic.Start();
  this->servers_topic.Start();
  this->groups_topic.Start();
}

void EntryProcess::ApplyOperatorRecord(const TopicRecord& record) {
  const std::optional<std::string> domain = EvacuatedDomainOf(record.key);
  if (domain) {
    this->ApplyEvacuation(*domain, record.value.has_value());
  } else if (record.key == ConfigurationKey() && record.value) {
    this->ApplyConfig(record);
  }
}

void EntryProcess::ApplyEvacuation(const std::string& failure_domain,
                                   bool is_ordered) {
  if (!this->view.SetEvacuated(failure_domain, is_ordered, this->loop.Now())) {
    return;
  }
  for (const auto& [id, server] : this->view.Servers()) {
    if (!is_ordered && server.failure_domain == failure_domain) {
      this->limiter.HandleReturn(id);
    }
  }
  this->metrics
      .GetGauge("kumquatcart_evacuated", {{"failure_domain", failure_domain}})
      .Set(is_ordered ? 1 : 0);
  if (this->role.ReadsStore(kOperatorReaders)) {
    this->digests.SendToAll();
  }
  this->OnFleetChanged();
}

void EntryProcess::ApplyConfig(const TopicRecord& record) {
  this->config_loader.Load(
      {*record.value, {this->operator_topic.Position().era, record.offset}});
}

void EntryProcess::OnEraChanged() {
  const StoreEra era = this->store.Era();
  if (this->role.ReadsStore(kOperatorReaders)) {
    this->digests.SendToAll();
  }
  this->loop.Spawn(
      [this, era](Coroutine yield) { this->RestoreNodeRecord(era, yield); });
}

void EntryProcess::DropStaleRemovals(MonotonicTime now) {
  std::map<std::string, MonotonicTime> seen;
  std::vector<std::string> stale;
  for (const auto& [key, record] : this->servers_topic.Retained()) {
    if (!record.is_removed) {
      continue;
    }
    const auto known = this->retained_removals.find(key);
    const MonotonicTime since =
        known == this->retained_removals.end() ? now : known->second;
    seen.emplace(key, since);
    if (now - since >= kStaleEntryTime) {
      stale.push_back(key);
    }
  }
  this->retained_removals = std::move(seen);
  for (const std::string& key : stale) {
    this->servers_topic.DropRetainedRemoval(key);
  }
}

void EntryProcess::RestoreNodeRecord(StoreEra era, Coroutine yield) {
  std::random_device entropy;
  std::minstd_rand generator(entropy());
  this->loop.Sleep(std::chrono::milliseconds(std::uniform_int_distribution<int>(
                       0, kMaxNodeRecordDelayMs)(generator)),
                   yield);
  while (!this->nodes_topic.IsCurrent()) {
    this->loop.Sleep(kNodeRecordRetryDelay, yield);
  }
  const TopicRecord* record = this->nodes_topic.Find(this->settings.node_name);
  if (this->store.Era() == era &&
      (record == nullptr || record->value != this->NodeRecordValue())) {
    LogInfo("node_record_restored", {{"era", era}});
    this->PublishNodeRecord(yield);
  }
}

bool EntryProcess::AdoptConfig(RoutingConfig config) {
  const LoopStep step(this->loop.Monitor(), "adopt_config");
  if (!this->request_memory.CanEverHold(config.limits.body_bytes)) {
    LogWarning("body_limit_over_memory",
               {{"version", config.version},
                {"body_bytes", config.limits.body_bytes},
                {"memory_bytes", this->caller_memory.Capacity()}});
  }
  if (!this->view.AdoptConfig(
          std::make_shared<const RoutingConfig>(std::move(config)))) {
    return false;
  }
  this->limiter.SetServices(this->view.Config()->services);
  this->context.routes =
      std::make_shared<const RouteTable>(this->view.Config());
  if (this->role.ReadsStore(kOperatorReaders)) {
    this->digests.SendToAll();
  }
  this->OnFleetChanged();
  return true;
}

void EntryProcess::ApplyServer(const TopicRecord& record) {
  const MonotonicTime now = this->loop.Now();
  if (!record.value) {
    this->UpdateStoreOutage();
    this->view.NoteRemoval(record.key, now);
    this->view.RemoveServer(record.key,
                            this->store_outage.EffectiveRemovalTime(now));
    this->view.ExpireServers(now);
    return;
  }
  const Result<BackendServer> server =
      DecodeServerEntry(record.key, *record.value);
  if (server.has_error()) {
    LogWarning("server_entry_ignored", {{"server", record.key},
                                        {"offset", record.offset},
                                        {"reason", server.error().message}});
    // The entry no longer names the server, or was removed before this record.
    this->view.RemoveServer(
        record.key, std::max(this->store_outage.EffectiveRemovalTime(now),
                             now + kEntryRewriteTime));
    return;
  }
  const BackendServer* known = this->view.FindServer(record.key);
  if (known == nullptr || known->started_ms != server.value().started_ms ||
      known->endpoint != server.value().endpoint) {
    // Connections that were opened before lead to a former server.
    const TcpEndpoint address = ToTcpEndpoint(server.value().endpoint);
    this->pool.CloseIdle(address);
    this->engine_http.CloseIdle(address);
  }
  this->view.PutServer(server.value(), now);
  this->limiter.HandleEntry(server.value());
  this->gate.HandleStart({record.key, server.value().started_ms});
  this->group_balancer.AssignFreeSlots();
}

void EntryProcess::ApplyGroup(const TopicRecord& record) {
  if (!record.value) {
    return;
  }
  const Result<GroupRecord> group =
      DecodeGroupRecord(record.key, record.offset, *record.value);
  if (group.has_error()) {
    LogError("group_record_unreadable", {{"group", record.key},
                                         {"offset", record.offset},
                                         {"reason", group.error().message}});
    return;
  }
  if (this->view.PutRecord(group.value())) {
    this->OnFleetChanged();
  }
}

void EntryProcess::ApplyNode(const TopicRecord& record) {
  if (!record.value) {
    return;
  }
  const Result<NodeRecord> node = DecodeNodeRecord(*record.value);
  if (node.has_error()) {
    LogWarning("node_record_unreadable", {{"node", record.key},
                                          {"offset", record.offset},
                                          {"reason", node.error().message}});
    return;
  }
  this->peers.PutPeer(record.key, node.value().failure_domain,
                      node.value().endpoint, node.value().cores);
}

std::string EntryProcess::NodeRecordValue() const {
  return EncodeNodeRecord({this->settings.peers, this->settings.failure_domain,
                           this->settings.cores});
}

void EntryProcess::PublishNodeRecord(Coroutine yield) {
  for (;;) {
    const Result<std::int64_t> offset =
        this->store.Append(StoreTopic::kNodes, this->settings.node_name,
                           this->NodeRecordValue(), std::nullopt, yield);
    if (offset.has_value()) {
      return;
    }
    LogWarning("announce_failed", {{"reason", offset.error().message}});
    this->loop.Sleep(kNodeRecordRetryDelay, yield);
  }
}

NodeDigest EntryProcess::ComposeDigest() {
  const LoopStep step(this->loop.Monitor(), "compose_digest");
  NodeDigest digest;
  digest.node = this->settings.node_name;
  digest.failure_domain = this->settings.failure_domain;
  digest.is_stopping = this->context.is_stopping;
  digest.reaches_store = this->store.IsReachable();
  this->peers.SetReachesStore(digest.reaches_store);
  digest.has_traffic = this->view.HasTraffic();
  digest.config_version =
      this->view.Config() ? this->view.Config()->version : 0;
  digest.store_era = this->store.Era();
  for (const TopicFollower* follower : this->Followers()) {
    const TopicPosition end = follower->Position();
    digest.topic_ends.push_back(end.era == digest.store_era ? end.offset
                                                            : kNotRead);
    digest.retained_records.push_back(
        static_cast<int>(follower->Retained().size()));
  }
  const MonotonicTime now = this->loop.Now();
  this->peer_loads.Report(this->digests.Schedule().IsCollector(now), now,
                          &digest);
  for (const auto& entry : this->view.Unreachable()) {
    digest.unreachable.push_back(entry.first);
  }
  digest.suspected_servers = this->prober.SuspectedServers();
  digest.groups = this->reconciler.GroupStates();
  digest.limits = this->limiter.NextReport();
  return digest;
}

void EntryProcess::HandleDigest(const NodeDigest& digest) {
  const LoopStep step(this->loop.Monitor(), "handle_digest");
  const MonotonicTime now = this->loop.Now();
  this->peer_loads.Accept(digest, this->digests.Schedule().IsCollector(now),
                          now);
  const PeerState& peer = this->peers.Peers().at(digest.node);
  const TcpEndpoint address = ToTcpEndpoint(peer.endpoint);
  const bool is_near = peer.failure_domain == this->settings.failure_domain;
  this->HandlePeerTopics(digest, address, is_near);
  if (digest.has_traffic) {
    this->view.MarkTrafficStarted();
  }
  for (const GroupAvailability& availability : digest.groups) {
    this->view.SetOpen(availability.group, availability.epoch,
                       availability.open);
  }
  if (digest.limits) {
    this->limiter.MergeReport(digest.node, *digest.limits);
  }
  this->prober.HandlePeerDigest(digest);
  this->prompts.HandlePeer(digest.node);
  this->group_balancer.AssignFreeSlots();
}

void EntryProcess::HandlePeerTopics(const NodeDigest& digest,
                                    const TcpEndpoint& peer,
                                    bool is_near) {
  this->store.NotePeerEra(digest.store_era);
  const std::vector<TopicFollower*> followers = this->Followers();
  for (std::size_t i = 0;
       i < std::min(followers.size(), digest.topic_ends.size()); ++i) {
    if (digest.topic_ends[i] != kNotRead) {
      followers[i]->HandlePeerEnd(
          peer, {digest.store_era, digest.topic_ends[i]}, is_near);
    }
  }
  const std::int64_t version =
      this->view.Config() ? this->view.Config()->version : 0;
  bool lacks_news = false;
  for (std::size_t i = 0;
       i < std::min(followers.size(), digest.retained_records.size()); ++i) {
    const bool has_news = followers[i] != &this->operator_topic ||
                          digest.config_version > version;
    if (digest.retained_records[i] > 0 && has_news) {
      followers[i]->HandlePeerRetained(peer, digest.store_era);
      lacks_news = lacks_news || !followers[i]->HasAskedForRetained(peer);
    }
  }
  this->has_heard_peer =
      this->has_heard_peer ||
      (!lacks_news && this->operator_topic.IsCurrent() &&
       this->servers_topic.IsCurrent() &&
       digest.store_era == this->store.Era() && !digest.topic_ends.empty() &&
       digest.topic_ends.front() != kNotRead);
}

void EntryProcess::OnFleetChanged() {
  const LoopStep step(this->loop.Monitor(), "fleet_changed");
  this->digests.SendChange();
  this->group_balancer.AssignFreeSlots();
  for (Waiter* session : this->sessions) {
    session->Notify();
  }
}

void EntryProcess::OnGateOpened() {
  this->group_balancer.AssignFreeSlots();
  this->plain_balancer.HandleGateOpened();
}

void EntryProcess::UpdateStoreOutage() {
  const MonotonicTime now = this->loop.Now();
  this->store_outage.SetStoreDown(
      this->peers.IsStoreDown(this->store.IsReachable(), now), now);
}

void EntryProcess::ShareRetryBudget(MonotonicTime now) {
  if (!this->nodes_topic.IsSynced()) {
    return;
  }
  const int nodes = this->peers.CountNodesSince(
      now - kMaxNodeAbsence,
      /*include_silent=*/now - this->started_at < kMaxNodeAbsence);
  if (this->shared_retry_budget.SetNodeCount(nodes)) {
    LogInfo("retry_budget_shared", {{"nodes", nodes}});
  }
}

void EntryProcess::RunMaintenance(Coroutine yield) {
  std::error_code error;
  auto settings_time =
      std::filesystem::last_write_time(this->settings_path, error);
  for (;;) {
    this->loop.Sleep(kMaintenanceInterval, yield);
    const LoopStep step(this->loop.Monitor(), "maintenance");
    const MonotonicTime now = this->loop.Now();
    this->UpdateStoreOutage();
    this->view.ExpireServers(now);
    this->slot_coordinator.DropStale();
    this->prompts.DropStale();
    this->load.DropExpired(now);
    const auto exists = [this](const std::string& server) {
      return this->view.FindServer(server) != nullptr;
    };
    this->limiter.DropStale(exists);
    this->gate.DropStale(exists);
    this->pool.CloseUnusable();
    this->engine_http.PruneIdle();
    this->record_client.PruneIdle();
    this->DropStaleRemovals(now);
    if (const auto changed_at = this->store.EraChangedAt()) {
      this->metrics.GetGauge("kumquatcart_store_era_age_seconds")
          .Set(std::chrono::duration<double>(now - *changed_at).count());
    }
    this->PublishMemory();
    this->ShareRetryBudget(now);
    this->group_balancer.SetNodeCount(this->peers.CountLiveNodes(now));
    const auto written =
        std::filesystem::last_write_time(this->settings_path, error);
    if (!error && written != settings_time) {
      settings_time = written;
      this->ReloadSettings("file_changed");
    }
  }
}

void EntryProcess::ReloadSettings(const char* cause) {
  const LoopStep step(this->loop.Monitor(), "reload_settings");
  const Result<ProcessSettings> read = ReadProcessSettings(this->settings_path);
  if (read.has_error()) {
    LogError("settings_reload_failed",
             {{"cause", cause}, {"reason", read.error().message}});
    return;
  }
  // Addresses cannot change while the process runs.
  ProcessSettings next = read.value();
  next.callers = this->settings.callers;
  next.readiness = this->settings.readiness;
  next.peers = this->settings.peers;
  next.metrics = this->settings.metrics;
  next.store = this->settings.store;
  LogInfo("settings_reloaded",
          {{"cause", cause}, {"changed", next != this->settings ? 1 : 0}});
  this->settings = next;
}

void EntryProcess::WaitForSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        if (number == SIGHUP) {
          this->ReloadSettings("signal");
        } else if (!this->context.is_stopping) {
          LogInfo("stop_requested", {{"signal", number}});
          this->context.is_stopping = true;
          this->loop.Spawn([this](Coroutine yield) { this->Stop(yield); });
        }
        this->WaitForSignal();
      });
}

void EntryProcess::Stop(Coroutine yield) {
  const MonotonicTime started = this->loop.Now();
  this->reconciler.Stop();
  this->context.answer_by =
      started + this->settings.stop_grace - kStopGraceMargin;
  this->digests.SendToAll();
  const Duration accepting =
      std::min(kStopAcceptingDelay, this->settings.stop_grace / 2);
  const Duration keeping_idle = std::min(kStopIdleCloseDelay, accepting);
  this->loop.Sleep(keeping_idle, yield);
  this->context.close_idle_connections = true;
  this->OnFleetChanged();
  this->loop.Sleep(accepting - keeping_idle, yield);
  this->callers.Stop();
  this->context.close_unused_connections = true;
  this->OnFleetChanged();
  const MonotonicTime deadline = this->context.answer_by + kLastAnswerTime;
  while (!this->sessions.empty() && this->loop.Now() < deadline) {
    this->loop.Sleep(kStopPollInterval, yield);
  }
  LogInfo("stopped",
          {{"requests_in_progress", this->context.requests_in_progress},
           {"sessions", this->sessions.size()}});
  this->loop.Stop();
}

void EntryProcess::AcceptCaller(boost::asio::ip::tcp::socket socket) {
  const ConnectionPtr connection =
      TcpConnection::Adopt(&this->loop, std::move(socket));
  connection->CountIn(&this->caller_memory, MemoryUse::kConnection,
                      kCallerConnectionBytes);
  this->loop.Spawn([this, connection](Coroutine yield) {
    {
      Waiter waiter(&this->loop);
      this->sessions.insert(&waiter);
      const ScopeGuard guard(
          [this, &waiter] { this->sessions.erase(&waiter); });
      this->UpdateAccepting();
      ServeCaller(&this->context, connection, &waiter, yield);
    }
    // Not while coroutines unwind, when nothing may be started.
    this->UpdateAccepting();
  });
}

void EntryProcess::UpdateAccepting() {
  const bool accepts =
      this->sessions.size() < this->memory_plan.caller_connections;
  if (accepts == this->accepts_callers) {
    return;
  }
  this->accepts_callers = accepts;
  if (accepts) {
    this->callers.Resume();
    return;
  }
  this->callers.Pause();
  this->metrics.GetCounter("kumquatcart_accept_pauses_total").Add();
  LogWarning("accepting_paused", {{"connections", this->sessions.size()}});
}

void EntryProcess::PublishMemory() {
  for (const MemoryUse use : {MemoryUse::kConnection, MemoryUse::kRequest}) {
    this->metrics
        .GetGauge("kumquatcart_held_memory_bytes", {{"use", ToString(use)}})
        .Set(static_cast<double>(this->caller_memory.Held(use)));
  }
  this->metrics.GetGauge("kumquatcart_held_memory_bytes", {{"use", "answer"}})
      .Set(static_cast<double>(this->context.buffered_answer_bytes));
}

bool EntryProcess::HasFleetState() const {
  return this->servers_topic.IsSynced() && this->groups_topic.IsSynced();
}

bool EntryProcess::AwaitsPeers() const {
  const MonotonicTime now = this->loop.Now();
  if (this->store.Era() == 0 ||
      now - this->started_at >= kPeerIntroductionTime) {
    return false;
  }
  return this->operator_topic.IsFetchingRetained() ||
         this->servers_topic.IsFetchingRetained() ||
         (!this->has_heard_peer &&
          this->peers.CountNodesSince(now, /*include_silent=*/true) > 1);
}

SimpleHttpResponse EntryProcess::AnswerReadiness() const {
  const bool ready = !this->context.is_stopping &&
                     this->context.routes != nullptr && this->HasFleetState() &&
                     !this->AwaitsPeers();
  return SimpleHttpResponse{ready ? kHttpOk : kHttpServiceUnavailable, ""};
}

TopicFollower::FetchFromPeer EntryProcess::MakePeerFetcher(StoreTopic topic) {
  return [this, topic](const TcpEndpoint& peer, TopicPosition from,
                       Coroutine yield) {
    return this->record_client.Fetch(peer, RecordQuery{topic, from}, yield);
  };
}

SimpleHttpResponse EntryProcess::HandlePeerRequest(const ParsedRequest& request,
                                                   Coroutine yield) {
  const std::optional<RecordQuery> query = DecodeRecordQuery(request.target);
  if (!query) {
    return this->RelayStoreCall(request, yield);
  }
  const LoopStep step(this->loop.Monitor(), "send_records",
                      ToString(query->topic));
  const TopicFollower* follower =
      this->Followers()[static_cast<std::size_t>(query->topic)];
  return this->record_service.Answer(query->topic, *follower, query->from,
                                     this->loop.Now());
}

SimpleHttpResponse EntryProcess::RelayStoreCall(const ParsedRequest& request,
                                                Coroutine yield) {
  if (!StoreClient::IsStoreCall(request.target)) {
    return SimpleHttpResponse{kHttpNotFound, ""};
  }
  const HttpResponse reply = this->store.PassOn(
      OutgoingRequest{request.method, request.target, {}, request.body}, yield);
  if (reply.result != ExchangeResult::kAnswered) {
    return SimpleHttpResponse{reply.result == ExchangeResult::kNotSent
                                  ? kHttpServiceUnavailable
                                  : kHttpGatewayTimeout,
                              ""};
  }
  return SimpleHttpResponse{reply.status, reply.body,
                            StoreClient::FieldsToPassOn(reply)};
}

}  // namespace kumquatcart
