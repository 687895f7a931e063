#include "entry/entry_process.h"

#include <csignal>
#include <filesystem>

#include "base/json.h"
#include "base/logging.h"
#include "base/scope_guard.h"
#include "control/group_record_codec.h"
#include "entry/caller_session.h"
#include "entry/entry_constants.h"
#include "model/socket_address.h"
#include "net/http_status.h"
#include "platform/caller_codec.h"
#include "platform/config_decoder.h"
#include "platform/server_decoder.h"

namespace kumquatcart {

namespace {

// Upkeep of tables: removals that are due, stale reports, idle connections.
constexpr Duration kUpkeepInterval = std::chrono::milliseconds(250);
// A peer's counts are forgotten after this silence, or after as many digests as
// may be lost in a row if that is longer.
constexpr Duration kCountsLifetime = std::chrono::milliseconds(1500);
// From the stop signal until no new connection is taken: the platform's
// balancer asks once a second and needs two misses.
constexpr Duration kStopAccepting = std::chrono::milliseconds(3200);
// Kept of the stop's grace for the last answers to leave.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
// The configuration must be in force everywhere within its bound, whatever
// becomes of a reader and of those who hear from it, so it has more of them;
// in small deployments every VM is one. Servers change often and in numbers; a
// leaving one must be known everywhere within its bound. Nothing waits for the
// others.
constexpr int kOperatorReaders = 4;
constexpr Duration kShortPause = std::chrono::milliseconds(40);
constexpr Duration kBatchPause = std::chrono::milliseconds(250);
constexpr Duration kStandbyPause = std::chrono::milliseconds(800);
constexpr Duration kReadWait = std::chrono::milliseconds(3500);
constexpr Duration kServersReadWait = std::chrono::milliseconds(1200);
constexpr FollowerSettings kOperatorTopic{StoreTopic::kOperator,
                                          kOperatorReaders, kReadWait,
                                          kShortPause, kShortPause};
constexpr FollowerSettings kServersTopic{StoreTopic::kServers, kStoreReaders,
                                         kServersReadWait, kBatchPause,
                                         kStandbyPause};
constexpr FollowerSettings kGroupsTopic{StoreTopic::kGroups, kStoreReaders,
                                        kReadWait, kShortPause, kStandbyPause};
constexpr FollowerSettings kNodesTopic{StoreTopic::kNodes, kStoreReaders,
                                       kReadWait, kBatchPause, kStandbyPause};
// A relayed read waits up to 3.5 s at the store, as a direct one does.
constexpr Duration kRelayTimeout = std::chrono::seconds(5);
// A peer answers from memory.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);
// Connections between entry VMs are kept for some seconds.
constexpr Duration kPeerIdle = std::chrono::seconds(3);
// Pause between tries to announce this process.
constexpr Duration kAnnounceRetry = std::chrono::milliseconds(500);

RepeatBounds BoundsOf(const ProcessSettings& settings) {
  return {settings.retry_ratio, settings.retry_base, settings.retry_window};
}

}  // namespace

EntryProcess::EntryProcess(ProcessSettings initial, std::string settings_path)
    : settings(std::move(initial)),
      settings_path(std::move(settings_path)),
      signals(this->loop.Context(), SIGTERM, SIGINT, SIGHUP),
      store(&this->loop, ToTcpEndpoint(this->settings.store)),
      peer_http(&this->loop),
      engine_http(&this->loop),
      engines(&this->loop, &this->engine_http),
      peers(this->settings.node_name, this->settings.failure_domain),
      role(&this->loop,
           &this->peers,
           &this->store,
           this->settings.failure_domain),
      prober(
          &this->loop,
          &this->engines,
          &this->view,
          &this->role,
          [this](const PeerState& peer) { this->digests.Tell(peer); },
          [this] { this->NoteFleetChange(); }),
      path(&this->loop,
           &this->view,
           &this->prober,
           this->settings.failure_domain,
           BoundsOf(this->settings)),
      operator_topic(&this->loop,
                     &this->store,
                     kOperatorTopic,
                     &this->role,
                     this->Fetcher(StoreTopic::kOperator),
                     [this](const TopicRecord& r) { this->ApplyConfig(r); }),
      servers_topic(&this->loop,
                    &this->store,
                    kServersTopic,
                    &this->role,
                    this->Fetcher(StoreTopic::kServers),
                    [this](const TopicRecord& r) { this->ApplyServer(r); }),
      groups_topic(&this->loop,
                   &this->store,
                   kGroupsTopic,
                   &this->role,
                   this->Fetcher(StoreTopic::kGroups),
                   [this](const TopicRecord& r) { this->ApplyGroup(r); }),
      nodes_topic(&this->loop,
                  &this->store,
                  kNodesTopic,
                  &this->role,
                  this->Fetcher(StoreTopic::kNodes),
                  [this](const TopicRecord& r) { this->ApplyNode(r); }),
      driver({&this->loop, &this->store, &this->engines, &this->prober,
              &this->view, &this->peers, &this->role, &this->groups_topic,
              this->settings.failure_domain,
              [this] { this->NoteFleetChange(); }}),
      digests(
          &this->loop,
          &this->peers,
          [this] { return this->ComposeDigest(); },
          [this](const NodeDigest& digest) { this->HearDigest(digest); }),
      callers(&this->loop,
              [this](boost::asio::ip::tcp::socket socket) {
                this->AcceptCaller(std::move(socket));
              }),
      readiness(&this->loop,
                [this](const ReadRequest&, Coroutine) {
                  return this->AnswerReadiness();
                }),
      metrics_service(
          &this->loop,
          [this](const ReadRequest&, Coroutine) {
            return TextAnswer{kHttpOk, this->path.metrics.Serialize()};
          }),
      relay(&this->loop, [this](const ReadRequest& request, Coroutine yield) {
        return this->AnswerPeer(request, yield);
      }) {
  this->path.context.knows_fleet = [this] { return this->KnowsFleet(); };
}

Status EntryProcess::Start() {
  BOOST_OUTCOME_TRY(
      this->readiness.Start(ToTcpEndpoint(this->settings.readiness)));
  BOOST_OUTCOME_TRY(this->callers.Start(ToTcpEndpoint(this->settings.callers)));
  BOOST_OUTCOME_TRY(
      this->metrics_service.Start(ToTcpEndpoint(this->settings.metrics)));
  BOOST_OUTCOME_TRY(this->relay.Start(ToTcpEndpoint(this->settings.peers)));
  BOOST_OUTCOME_TRY(this->digests.Start(this->settings.peers));
  for (TopicFollower* follower : this->Followers()) {
    follower->Start();
  }
  this->prober.Start();
  this->path.group_watch.Start();
  this->driver.Start();
  this->loop.Spawn([this](Coroutine yield) { this->Announce(yield); });
  this->loop.Spawn([this](Coroutine yield) { this->KeepUp(yield); });
  this->WaitForSignal();
  LogInfo("started", {{"node", this->settings.node_name},
                      {"failure_domain", this->settings.failure_domain},
                      {"callers", this->settings.callers.ToString()}});
  return Ok();
}

std::vector<TopicFollower*> EntryProcess::Followers() {
  // In the order of StoreTopic.
  return {&this->operator_topic, &this->servers_topic, &this->groups_topic,
          &this->nodes_topic};
}

void EntryProcess::ApplyConfig(const TopicRecord& record) {
  if (record.key != ConfigurationKey() || !record.value) {
    return;
  }
  const Result<RoutingConfig> config = DecodeRoutingConfig(*record.value);
  if (config.has_error()) {
    LogError("config_unreadable",
             {{"offset", record.offset}, {"reason", config.error().message}});
    return;
  }
  if (this->view.AdoptConfig(
          std::make_shared<const RoutingConfig>(config.value()))) {
    this->path.context.routes =
        std::make_shared<const RouteTable>(this->view.Config());
    this->digests.Hurry();
    this->NoteFleetChange();
  }
}

void EntryProcess::ApplyServer(const TopicRecord& record) {
  const MonotonicTime now = this->loop.Now();
  if (!record.value) {
    this->NoteStoreState();
    this->view.RemoveServer(record.key, this->store_outage.Settled(now));
    this->view.ExpireServers(now);
    return;
  }
  const Result<BackendServer> server =
      DecodeServerEntry(record.key, *record.value);
  if (server.has_error()) {
    LogWarning("server_entry_ignored", {{"server", record.key},
                                        {"offset", record.offset},
                                        {"reason", server.error().message}});
    return;
  }
  this->view.PutServer(server.value(), now);
  this->path.group_places.NoteChange();
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
    this->NoteFleetChange();
  }
}

void EntryProcess::ApplyNode(const TopicRecord& record) {
  if (!record.value) {
    return;
  }
  const Result<Json> json = ParseJson(*record.value);
  if (json.has_error()) {
    LogWarning("node_record_unreadable", {{"node", record.key}});
    return;
  }
  const Result<Endpoint> endpoint =
      FromJson<Endpoint>(json.value().value("endpoint", Json::object()));
  if (endpoint.has_error()) {
    LogWarning("node_record_unreadable", {{"node", record.key}});
    return;
  }
  this->peers.PutPeer(record.key,
                      json.value().value("failure_domain", std::string()),
                      endpoint.value());
  std::vector<TcpEndpoint> relays;
  for (const auto& entry : this->peers.Peers()) {
    relays.push_back(ToTcpEndpoint(entry.second.endpoint));
  }
  this->store.SetRelays(std::move(relays));
}

void EntryProcess::Announce(Coroutine yield) {
  const std::string value =
      Json{{"endpoint", this->settings.peers},
           {"failure_domain", this->settings.failure_domain}}
          .dump();
  for (;;) {
    const Result<std::int64_t> offset =
        this->store.Append(StoreTopic::kNodes, this->settings.node_name, value,
                           std::nullopt, yield);
    if (offset.has_value()) {
      return;
    }
    LogWarning("announce_failed", {{"reason", offset.error().message}});
    this->loop.Sleep(kAnnounceRetry, yield);
  }
}

NodeDigest EntryProcess::ComposeDigest() const {
  NodeDigest digest;
  digest.node = this->settings.node_name;
  digest.failure_domain = this->settings.failure_domain;
  digest.is_stopping = this->path.context.is_stopping;
  digest.reaches_store = this->store.IsReachable();
  digest.has_traffic = this->view.HasTraffic();
  digest.config_version =
      this->view.Config() ? this->view.Config()->version : 0;
  digest.topic_ends = {this->operator_topic.End(), this->servers_topic.End(),
                       this->groups_topic.End(), this->nodes_topic.End()};
  digest.in_flight = this->path.requests.OwnCounts();
  digest.unread = this->path.unread.OwnCounts();
  for (const auto& entry : this->view.Unreachable()) {
    digest.unreachable.push_back(entry.first);
  }
  digest.doubted = this->prober.Doubted();
  digest.groups = this->driver.News();
  return digest;
}

void EntryProcess::HearDigest(const NodeDigest& digest) {
  this->path.requests.Report(digest.node, digest.in_flight, this->loop.Now());
  this->path.unread.Report(digest.node, digest.unread, this->loop.Now());
  const TcpEndpoint address =
      ToTcpEndpoint(this->peers.Peers().at(digest.node).endpoint);
  const std::vector<TopicFollower*> followers = this->Followers();
  for (std::size_t i = 0;
       i < std::min(followers.size(), digest.topic_ends.size()); ++i) {
    followers[i]->NotePeerEnd(address, digest.topic_ends[i]);
  }
  if (digest.has_traffic) {
    this->view.NoteTraffic();
  }
  for (const GroupNews& news : digest.groups) {
    this->view.SetOpen(news.group, news.epoch, news.open);
  }
  this->prober.HearPeer(digest);
  this->path.group_places.NoteChange();
}

void EntryProcess::NoteFleetChange() {
  this->digests.Hurry();
  this->path.group_places.NoteChange();
  for (Waiter* session : this->sessions) {
    session->Notify();
  }
}

void EntryProcess::NoteStoreState() {
  const MonotonicTime now = this->loop.Now();
  this->store_outage.Note(
      this->peers.IsStoreDown(this->store.IsReachable(), now), now);
}

void EntryProcess::KeepUp(Coroutine yield) {
  std::error_code error;
  auto settings_time =
      std::filesystem::last_write_time(this->settings_path, error);
  for (;;) {
    this->loop.Sleep(kUpkeepInterval, yield);
    const MonotonicTime now = this->loop.Now();
    this->NoteStoreState();
    this->view.ExpireServers(now);
    this->path.requests.Forget(
        now -
        std::max(kCountsLifetime, kLostDigests * this->digests.Interval()));
    this->path.pool.Prune();
    this->engine_http.PruneIdle();
    this->peer_http.PruneIdle();
    const int nodes = this->peers.LiveNodes(now);
    this->path.repeats.SetNodes(nodes);
    this->path.group_places.SetNodes(nodes);
    const auto written =
        std::filesystem::last_write_time(this->settings_path, error);
    if (!error && written != settings_time) {
      settings_time = written;
      this->ReloadSettings("file_changed");
    }
  }
}

void EntryProcess::ReloadSettings(const char* cause) {
  const Result<ProcessSettings> read = ReadProcessSettings(this->settings_path);
  if (read.has_error()) {
    LogError("settings_reload_failed",
             {{"cause", cause}, {"reason", read.error().message}});
    return;
  }
  // Addresses hold for the life of the process.
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
        } else if (!this->path.context.is_stopping) {
          LogInfo("stop_requested", {{"signal", number}});
          this->path.context.is_stopping = true;
          this->loop.Spawn([this](Coroutine yield) { this->Stop(yield); });
        }
        this->WaitForSignal();
      });
}

void EntryProcess::Stop(Coroutine yield) {
  const MonotonicTime started = this->loop.Now();
  this->driver.Stop();
  this->digests.Hurry();
  this->loop.Sleep(kStopAccepting, yield);
  this->callers.Stop();
  this->path.context.closes_idle = true;
  this->NoteFleetChange();
  const MonotonicTime deadline =
      started + this->settings.stop_grace - kStopMargin;
  while (!this->sessions.empty() && this->loop.Now() < deadline) {
    this->loop.Sleep(kStopPoll, yield);
  }
  LogInfo("stopped",
          {{"requests_in_progress", this->path.context.requests_in_progress},
           {"sessions", this->sessions.size()}});
  this->loop.Stop();
}

void EntryProcess::AcceptCaller(boost::asio::ip::tcp::socket socket) {
  const ConnectionPtr connection =
      TcpConnection::Adopt(&this->loop, std::move(socket));
  this->loop.Spawn([this, connection](Coroutine yield) {
    Waiter waiter(&this->loop);
    this->sessions.insert(&waiter);
    const ScopeGuard guard([this, &waiter] { this->sessions.erase(&waiter); });
    ServeCaller(&this->path.context, connection, &waiter, yield);
  });
}

bool EntryProcess::KnowsFleet() const {
  return this->servers_topic.IsSynced() && this->groups_topic.IsSynced();
}

TextAnswer EntryProcess::AnswerReadiness() const {
  const bool ready = !this->path.context.is_stopping &&
                     this->path.context.routes != nullptr && this->KnowsFleet();
  return TextAnswer{ready ? kHttpOk : kHttpUnavailable, ""};
}

TopicFollower::FetchFromPeer EntryProcess::Fetcher(StoreTopic topic) {
  return [this, topic](const TcpEndpoint& peer, std::int64_t from,
                       Coroutine yield) {
    return this->FetchRecords(peer, RecordQuery{topic, from}, yield);
  };
}

Result<TopicBatch> EntryProcess::FetchRecords(const TcpEndpoint& peer,
                                              const RecordQuery& query,
                                              Coroutine yield) {
  const HttpReply reply = this->peer_http.Exchange(
      peer, OutgoingRequest{"GET", EncodeRecordQuery(query), {}, {}},
      this->loop.Now() + kPeerTimeout, kPeerIdle, yield);
  if (!reply.Is(kHttpOk)) {
    return MakeError(ErrorCode::kUnavailable,
                     std::string("peer: ") + ToString(reply.result));
  }
  return DecodeBatch(reply.body);
}

TextAnswer EntryProcess::AnswerPeer(const ReadRequest& request,
                                    Coroutine yield) {
  const std::optional<RecordQuery> query = DecodeRecordQuery(request.target);
  if (!query) {
    return this->RelayStoreCall(request, yield);
  }
  const TopicFollower* follower =
      this->Followers()[static_cast<std::size_t>(query->topic)];
  return TextAnswer{kHttpOk, EncodeBatch(follower->RecordsSince(query->from))};
}

TextAnswer EntryProcess::RelayStoreCall(const ReadRequest& request,
                                        Coroutine yield) {
  if (!StoreClient::IsStoreCall(request.target)) {
    return TextAnswer{kHttpNotFound, ""};
  }
  const HttpReply reply = this->store.PassOn(
      OutgoingRequest{request.method, request.target, {}, request.body},
      kRelayTimeout, yield);
  if (reply.result != ExchangeResult::kAnswered) {
    return TextAnswer{reply.result == ExchangeResult::kNotSent
                          ? kHttpUnavailable
                          : kHttpGatewayTimeout,
                      ""};
  }
  return TextAnswer{reply.status, reply.body};
}

}  // namespace kumquatcart
