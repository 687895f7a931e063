// The entry VM process on the platform.
#ifndef ENTRY_ENTRY_PROCESS_H_
#define ENTRY_ENTRY_PROCESS_H_

#include <memory>
#include <set>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "base/outcome.h"
#include "control/group_driver.h"
#include "control/store_outage.h"
#include "control/topic_follower.h"
#include "entry/request_path.h"
#include "entry/text_service.h"
#include "peers/digest_exchange.h"
#include "peers/record_exchange.h"
#include "platform/process_settings.h"

namespace kumquatcart {

// Owns every part of the process and connects them. One thread.
class EntryProcess {
 public:
  // `settings_path` is read again when its file changes.
  EntryProcess(ProcessSettings settings, std::string settings_path);
  ~EntryProcess() { this->loop.EndCoroutines(); }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Binds all addresses and starts to follow the store. Errors: kUnavailable.
  Status Start();

  // Serves until the process was told to stop and its requests have ended.
  void Run() { this->loop.Run(); }

 private:
  void ApplyConfig(const TopicRecord& record);
  void ApplyServer(const TopicRecord& record);
  void ApplyGroup(const TopicRecord& record);
  void ApplyNode(const TopicRecord& record);
  NodeDigest ComposeDigest() const;
  void HearDigest(const NodeDigest& digest);
  void Announce(Coroutine yield);
  void KeepUp(Coroutine yield);
  void NoteFleetChange();
  void NoteStoreState();
  void WaitForSignal();
  void ReloadSettings(const char* cause);
  void Stop(Coroutine yield);
  void AcceptCaller(boost::asio::ip::tcp::socket socket);
  bool KnowsFleet() const;
  TextAnswer AnswerReadiness() const;
  TextAnswer AnswerPeer(const ReadRequest& request, Coroutine yield);
  TextAnswer RelayStoreCall(const ReadRequest& request, Coroutine yield);
  Result<TopicBatch> FetchRecords(const TcpEndpoint& peer,
                                  const RecordQuery& query,
                                  Coroutine yield);
  // A function that fetches `topic` from a peer.
  TopicFollower::FetchFromPeer Fetcher(StoreTopic topic);
  std::vector<TopicFollower*> Followers();

  ProcessSettings settings;
  const std::string settings_path;
  EventLoop loop;
  boost::asio::signal_set signals;
  StoreClient store;
  HttpClient peer_http;
  HttpClient engine_http;
  EngineClient engines;
  FleetView view;
  PeerDirectory peers;
  StoreOutage store_outage;
  PlannerRole role;
  ServerProber prober;
  RequestPath path;
  TopicFollower operator_topic;
  TopicFollower servers_topic;
  TopicFollower groups_topic;
  TopicFollower nodes_topic;
  GroupDriver driver;
  DigestExchange digests;
  Listener callers;
  TextService readiness;
  TextService metrics_service;
  TextService relay;
  std::set<Waiter*> sessions;
};

}  // namespace kumquatcart

#endif  // ENTRY_ENTRY_PROCESS_H_
