#include "cli/entry_node.h"

#include <random>
#include <utility>

#include "base/logging.h"
#include "base/metrics.h"
#include "base/periodic_task.h"
#include "base/worker_pool.h"
#include "board/board.h"
#include "cli/ops_page.h"
#include "control/audit_trail.h"
#include "control/config_follower.h"
#include "control/config_replica.h"
#include "control/config_topic.h"
#include "control/engine_watcher.h"
#include "control/group_controller.h"
#include "control/group_exchange.h"
#include "control/group_table_updater.h"
#include "control/lease_manager.h"
#include "control/snapshotter.h"
#include "control/vm_list_reader.h"
#include "gateway/claim_log.h"
#include "gateway/gateway.h"
#include "model/endpoint_parser.h"
#include "net/http_status.h"
#include "peers/overlay.h"
#include "peers/websocket_peer_network.h"
#include "platform/http_engine_control.h"
#include "platform/http_log_service.h"
#include "platform/http_vm_list.h"
#include "platform/http_weight_store.h"
#include "routing/admission_controller.h"
#include "routing/demand_table.h"
#include "routing/retry_budget.h"
#include "routing/router.h"

namespace kumquatcart {

namespace {

// How long the demand of a node that is no longer heard counts.
constexpr Duration kDemandHold = std::chrono::seconds(30);

constexpr Duration kDemandInterval = std::chrono::seconds(1);

// How often the peers are told this node's state.
constexpr Duration kPeerInterval = std::chrono::milliseconds(100);

std::uint64_t MakeSeed(std::int64_t setting) {
  return setting == 0 ? std::random_device()()
                      : static_cast<std::uint64_t>(setting);
}

// Until the peers are heard of, this node is its failure domain's only member.
MemberTable OnlySelf(const NodeIdentity& identity) {
  MemberTable table;
  table.members[identity.id].identity = identity;
  return table;
}

// A node without peers hears of other failure domains' groups from nobody and
// watches them itself.
ServeSettings WithoutPeersWatchAll(ServeSettings settings) {
  if (settings.peers.key_file.empty()) {
    settings.watch.scope = kWatchScopeAll;
  }
  return settings;
}

}  // namespace

// Declared in the order of use: what is declared later may use what is declared
// earlier.
struct EntryNode::Parts {
  Parts(Clock* clock,
        ServeSettings settings,
        NodeIdentity identity,
        std::string peer_key)
      : settings(WithoutPeersWatchAll(std::move(settings))),
        board(std::move(identity)),
        control_pool(
            static_cast<std::size_t>(this->settings.node.worker_threads)),
        request_pool(
            static_cast<std::size_t>(this->settings.node.worker_threads)),
        log(this->settings.node.platform_url, this->settings.platform, clock),
        vm_list(this->settings.node.platform_url,
                this->settings.platform,
                clock),
        weight_store(this->settings.node.platform_url,
                     this->settings.platform,
                     clock),
        engine_control(clock),
        peers(clock,
              &metrics,
              board.identity,
              std::move(peer_key),
              this->settings.peers,
              [this](const MemberTable& members) {
                this->board.members.Publish(members);
              }),
        audit(clock,
              &control_pool,
              &board,
              &log,
              &metrics,
              this->settings.config),
        config_replica(&board, &audit, &metrics, this->settings.config),
        config_topic(std::make_shared<ConfigTopic>(&config_replica, &metrics)),
        config_follower(clock,
                        &log,
                        &config_replica,
                        &metrics,
                        this->settings.config),
        snapshotter(clock,
                    &control_pool,
                    &board,
                    &log,
                    &metrics,
                    this->settings.config),
        vm_list_reader(clock,
                       &control_pool,
                       &board,
                       &vm_list,
                       &metrics,
                       this->settings.watch),
        engine_watcher(clock,
                       &control_pool,
                       &board,
                       &engine_control,
                       &metrics,
                       this->settings.watch),
        group_view(clock,
                   &control_pool,
                   &board,
                   &metrics,
                   this->settings.watch),
        group_exchange(clock, &board, &peers),
        lease_keeper(clock,
                     &control_pool,
                     &board,
                     &log,
                     &metrics,
                     this->settings.lease),
        group_controller(
            clock,
            &control_pool,
            &board,
            &lease_keeper,
            &engine_control,
            &weight_store,
            [this](const AuditEntry& entry) { this->audit.Record(entry); },
            &metrics,
            this->settings.groups),
        demand(std::make_shared<DemandTable>(clock,
                                             board.identity.id,
                                             kDemandHold)),
        demand_task(clock,
                    &control_pool,
                    kDemandInterval,
                    [this] { this->PublishDemand(); }),
        peer_task(clock,
                  &control_pool,
                  kPeerInterval,
                  [this] { this->UpdatePeers(); }),
        admission(clock,
                  &board,
                  demand.get(),
                  &metrics,
                  this->settings.admission),
        router(clock,
               &board,
               this->settings.router,
               MakeSeed(this->settings.node.random_seed)),
        retry_budget(this->settings.node.retry_ratio,
                     this->settings.node.retry_burst),
        claim_log(clock, &log, &metrics, this->settings.claims),
        gateway(this->MakeGatewayParts(clock), MakeGatewaySettings()) {}

  GatewayParts MakeGatewayParts(Clock* clock) {
    GatewayParts gateway_parts;
    gateway_parts.clock = clock;
    gateway_parts.workers = &this->request_pool;
    gateway_parts.board = &this->board;
    gateway_parts.router = &this->router;
    gateway_parts.admission = &this->admission;
    gateway_parts.retry_budget = &this->retry_budget;
    gateway_parts.metrics = &this->metrics;
    gateway_parts.idempotency = &this->claim_log;
    return gateway_parts;
  }

  bool HasPeers() const { return !this->settings.peers.key_file.empty(); }

  // Joins the peers, or does nothing where no key is set.
  Status StartPeers() {
    if (!this->HasPeers()) {
      return Ok();
    }
    this->peers.AddTopic(this->config_topic);
    this->peers.AddTopic(this->demand);
    this->group_exchange.RegisterTopic();
    this->group_view.SetRemoteGroups(
        [this] { return this->group_exchange.RemoteGroups(); });
    this->board.groups.Subscribe(
        [this](const std::shared_ptr<const GroupTable>& groups) {
          this->group_exchange.Report(*groups);
        });
    this->config_follower.SetReaderPredicate([this] {
      return IsLogReader(*this->board.members.Read(), this->board.identity);
    });
    this->config_follower.SetOnNewRecords(
        [this] { this->peers.SchedulePush(this->config_topic->Name()); });
    BOOST_OUTCOME_TRYV(this->peers.Start());
    this->peer_task.Start();
    return Ok();
  }

  // Tells the peers what changed and where members may be found.
  void UpdatePeers() {
    std::vector<Endpoint> contacts;
    const auto vms = this->board.vms.Read();
    for (const auto& [id, vm] : vms->vms) {
      if (vm.role == VmRole::kEntry && id != this->board.identity.vm) {
        contacts.push_back(vm.endpoint);
      }
    }
    this->peers.SetBootstrapEndpoints(std::move(contacts));
    this->peers.SetOwnState(this->board.config.Read()->offset,
                            this->config_follower.IsPlatformReachable());
  }

  void PublishDemand() {
    const bool changed = this->demand->Publish();
    if (changed && this->HasPeers()) {
      this->peers.SchedulePush(this->demand->Name());
    }
  }

  GatewaySettings MakeGatewaySettings() const {
    GatewaySettings gateway_settings = this->settings.gateway;
    // Checked when the identity was made.
    const Endpoint callers =
        ParseEndpoint(this->settings.node.http_listen).value();
    gateway_settings.http_host = callers.host;
    gateway_settings.http_port = callers.port;
    const Endpoint& operators = this->board.identity.http_endpoint;
    if (operators != callers) {
      gateway_settings.operator_host = operators.host;
      gateway_settings.operator_port = operators.port;
    }
    return gateway_settings;
  }

  const ServeSettings settings;
  MetricRegistry metrics;
  Board board;
  WorkerPool control_pool;
  WorkerPool request_pool;
  HttpLogService log;
  HttpVmList vm_list;
  HttpWeightStore weight_store;
  HttpEngineControl engine_control;
  WebsocketPeerNetwork peers;
  AuditTrail audit;
  ConfigReplica config_replica;
  std::shared_ptr<ConfigTopic> config_topic;
  ConfigFollower config_follower;
  Snapshotter snapshotter;
  VmListReader vm_list_reader;
  EngineWatcher engine_watcher;
  GroupTableUpdater group_view;
  GroupExchange group_exchange;
  LeaseManager lease_keeper;
  GroupController group_controller;
  std::shared_ptr<DemandTable> demand;
  PeriodicTask demand_task;
  PeriodicTask peer_task;
  AdmissionController admission;
  Router router;
  RetryBudget retry_budget;
  ClaimLog claim_log;
  Gateway gateway;
  bool stopped = false;
};

EntryNode::EntryNode(Clock* clock,
                     ServeSettings settings,
                     NodeIdentity identity,
                     std::string peer_key)
    : parts(std::make_unique<Parts>(clock,
                                    std::move(settings),
                                    std::move(identity),
                                    std::move(peer_key))) {}

EntryNode::~EntryNode() {
  this->Stop();
}

Status EntryNode::Start() {
  Parts& parts = *this->parts;
  parts.board.members.Publish(OnlySelf(parts.board.identity));
  BOOST_OUTCOME_TRYV(parts.StartPeers());
  parts.audit.Start();
  parts.config_follower.Start();
  parts.snapshotter.Start();
  parts.vm_list_reader.Start();
  parts.engine_watcher.Start();
  parts.group_view.Start();
  parts.lease_keeper.Start();
  parts.group_controller.Start();
  parts.demand_task.Start();
  parts.admission.Start();
  parts.claim_log.Start();
  parts.gateway.AddPage("/ops", [](const PageRequest& /*request*/) {
    WholeReply page;
    page.status = kHttpOk;
    page.content_type = "text/html; charset=utf-8";
    page.body = OpsPageHtml();
    return page;
  });
  BOOST_OUTCOME_TRYV(parts.gateway.Start());
  const NodeIdentity& identity = parts.board.identity;
  LogInfo("entry_node_started", {{"node", identity.id},
                                 {"vm", identity.vm},
                                 {"failure_domain", identity.failure_domain},
                                 {"http", identity.http_endpoint.ToString()},
                                 {"peers", identity.peer_endpoint.ToString()}});
  return Ok();
}

void EntryNode::Drain() {
  if (this->parts->HasPeers()) {
    this->parts->peers.Leave();
  }
  this->parts->gateway.Drain();
}

void EntryNode::Stop() {
  Parts& parts = *this->parts;
  if (parts.stopped) {
    return;
  }
  parts.stopped = true;
  parts.gateway.Stop();
  parts.claim_log.Stop();
  parts.admission.Stop();
  parts.group_controller.Stop();
  parts.lease_keeper.Stop();
  parts.demand_task.Stop();
  parts.group_view.Stop();
  parts.engine_watcher.Stop();
  parts.peer_task.Stop();
  parts.vm_list_reader.Stop();
  parts.snapshotter.Stop();
  parts.config_follower.Stop();
  parts.audit.Stop();
  parts.request_pool.Stop();
  parts.control_pool.Stop();
  parts.peers.Stop();
  LogInfo("entry_node_stopped", {{"node", parts.board.identity.id}});
}

}  // namespace kumquatcart
