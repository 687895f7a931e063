// The process of an entry VM.
#ifndef ENTRY_ENTRY_PROCESS_H_
#define ENTRY_ENTRY_PROCESS_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "base/outcome.h"
#include "control/group_reconciler.h"
#include "control/store_outage.h"
#include "control/topic_follower.h"
#include "entry/config_loader.h"
#include "entry/entry_context.h"
#include "entry/group_load_balancer.h"
#include "entry/group_stall_detector.h"
#include "entry/memory_plan.h"
#include "entry/peer_loads.h"
#include "entry/permit_exchange.h"
#include "entry/plain_load_balancer.h"
#include "entry/prompt_exchange.h"
#include "entry/prompt_guard.h"
#include "entry/record_service.h"
#include "entry/request_memory.h"
#include "entry/server_gate.h"
#include "entry/server_limiter.h"
#include "entry/simple_http_server.h"
#include "entry/slot_client.h"
#include "entry/slot_coordinator.h"
#include "entry/slot_exchange.h"
#include "peers/digest_exchange.h"
#include "peers/record_client.h"
#include "platform/process_settings.h"

namespace kumquatcart {

// Owns and connects all components of the process. Single-threaded.
class EntryProcess {
 public:
  // The file at `settings_path` is read again when it changes.
  EntryProcess(ProcessSettings settings, std::string settings_path);
  ~EntryProcess() { this->loop.UnwindCoroutines(); }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Binds all addresses and starts to follow the topics of the store. Errors:
  // kUnavailable when an address cannot be bound.
  Status Start();

  // Serves until a stop signal was received and the connections have ended or
  // the grace period is over.
  void Run() { this->loop.Run(); }

 private:
  // Starts to follow the topics of the store.
  void StartFollowers(Coroutine yield);
  void ApplyOperatorRecord(const TopicRecord& record);
  void ApplyConfig(const TopicRecord& record);
  void ApplyEvacuation(const std::string& failure_domain, bool is_ordered);
  bool AdoptConfig(RoutingConfig config);
  void ApplyServer(const TopicRecord& record);
  void ApplyGroup(const TopicRecord& record);
  void ApplyNode(const TopicRecord& record);
  void OnEraChanged();
  // Writes the node record of this process again if the store has lost it.
  void RestoreNodeRecord(StoreEra era, Coroutine yield);
  NodeDigest ComposeDigest();
  void HandleDigest(const NodeDigest& digest);
  // Follows what a peer's digest says of the store's topics.
  void HandlePeerTopics(const NodeDigest& digest,
                        const TcpEndpoint& peer,
                        bool is_near);
  std::string NodeRecordValue() const;
  void PublishNodeRecord(Coroutine yield);
  void RunMaintenance(Coroutine yield);
  void OnFleetChanged();
  void OnGateOpened();
  void UpdateStoreOutage();
  // Counts the entry VMs that may use the retry budget.
  void ShareRetryBudget(MonotonicTime now);
  void WaitForSignal();
  void ReloadSettings(const char* cause);
  void Stop(Coroutine yield);
  void AcceptCaller(boost::asio::ip::tcp::socket socket);
  // Lets callers connect as long as the plan has room for them.
  void UpdateAccepting();
  void PublishMemory();
  bool HasFleetState() const;
  // Whether this process has just started, and announced peers, which may know
  // of later versions than an older copy of the store shows, have not been
  // heard.
  bool AwaitsPeers() const;
  // Ends the removals of servers whose entries are in the store nevertheless.
  void DropStaleRemovals(MonotonicTime now);
  SimpleHttpResponse AnswerReadiness() const;
  SimpleHttpResponse HandlePeerRequest(const ParsedRequest& request,
                                       Coroutine yield);
  SimpleHttpResponse RelayStoreCall(const ParsedRequest& request,
                                    Coroutine yield);
  // Returns a function that fetches records of `topic` from a peer.
  TopicFollower::FetchFromPeer MakePeerFetcher(StoreTopic topic);
  std::vector<TopicFollower*> Followers();

  ProcessSettings settings;
  const std::string settings_path;
  EventLoop loop;
  const MonotonicTime started_at = this->loop.Now();
  boost::asio::signal_set signals;
  MetricRegistry metrics;
  const MemoryPlan memory_plan = PlanMemory(this->settings);
  MemoryBudget caller_memory{this->memory_plan.caller_bytes};
  RequestMemory request_memory{&this->caller_memory, &this->metrics};
  StoreClient store;
  RecordClient record_client;
  RecordService record_service;
  HttpClient engine_http;
  EngineClient engines;
  FleetView view;
  ClusterLoad load;
  ClusterLoad unread_tokens;
  PeerLoads peer_loads;
  ConnectionPool pool;
  PeerDirectory peers;
  StoreOutage store_outage;
  PlannerRole role;
  ServerProber prober;
  PermitExchange permits;
  ServerLimiter limiter;
  ServerGate gate;
  PromptExchange prompt_exchange;
  PromptGuard prompts;
  SharedRetryBudget shared_retry_budget;
  SlotExchange slot_exchange;
  SlotClient slots;
  GroupLoadBalancer group_balancer;
  SlotCoordinator slot_coordinator;
  PlainLoadBalancer plain_balancer;
  GroupStallDetector stall_detector;
  ConfigLoader config_loader;
  TopicFollower operator_topic;
  TopicFollower servers_topic;
  TopicFollower groups_topic;
  TopicFollower nodes_topic;
  GroupReconciler reconciler;
  DigestExchange digests;
  TcpListener callers;
  SimpleHttpServer readiness;
  SimpleHttpServer metrics_service;
  SimpleHttpServer peer_service;
  EntryContext context;
  std::set<Waiter*> sessions;
  bool accepts_callers = true;
  bool has_heard_peer = false;
  // Since when removals that the store has lost are retained.
  std::map<std::string, MonotonicTime> retained_removals;
};

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_PROCESS_H_
