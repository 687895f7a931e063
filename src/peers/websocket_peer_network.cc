#include "peers/websocket_peer_network.h"

#include <utility>

#include "peers/rendezvous.h"

namespace kumquatcart {

namespace {

// Changes within this time are pushed together.
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);

}  // namespace

WebsocketPeerNetwork::WebsocketPeerNetwork(Clock* clock,
                                           MetricRegistry* metrics,
                                           const NodeIdentity& identity,
                                           std::string shared_key,
                                           const PeerSettings& settings,
                                           PeerNode::MembersListener on_members)
    : clock(clock),
      metrics(metrics),
      identity(identity),
      shared_key(std::move(shared_key)),
      settings(settings),
      on_members(std::move(on_members)),
      transport(std::make_shared<WebsocketTransport>(metrics)) {}

WebsocketPeerNetwork::~WebsocketPeerNetwork() {
  this->Stop();
}

void WebsocketPeerNetwork::AddTopic(std::shared_ptr<GossipTopic> topic) {
  this->topics.push_back(std::move(topic));
}

void WebsocketPeerNetwork::SchedulePush(const std::string& topic) {
  this->transport->Post([this, topic] {
    this->node->Topics().MarkChanged(topic);
    this->ScheduleFlush();
  });
}

Status WebsocketPeerNetwork::Start() {
  BOOST_OUTCOME_TRY(seeds, ParseEndpoints(this->settings.seeds));
  BOOST_OUTCOME_TRY(listen, ParseEndpoint(this->settings.listen));
  BOOST_OUTCOME_TRY(port, this->transport->Listen(listen));
  this->seeds = seeds;
  this->port = port;
  if (this->identity.peer_endpoint.port == 0) {
    this->identity.peer_endpoint = {listen.host, port};
  }
  this->node = std::make_unique<PeerNode>(
      this->clock, this->transport.get(), this->identity, this->shared_key,
      this->settings, this->metrics, StableHash(this->identity.id.value),
      this->on_members);
  for (const auto& topic : this->topics) {
    this->node->Topics().AddTopic(topic);
  }
  this->node->SetBootstrapEndpoints(this->seeds);
  this->transport->SetEvents(
      {[this](LinkId link, bool initiated) {
         this->node->OnOpen(link, initiated);
       },
       [this](LinkId link) { this->node->OnClosed(link); },
       [this](LinkId link, const std::string& frame) {
         this->node->OnFrame(link, frame);
         this->ScheduleFlush();
       }});
  this->thread = std::thread([this] {
    this->node->Tick();
    this->ScheduleTick();
    this->transport->Run();
  });
  return Ok();
}

void WebsocketPeerNetwork::Stop() {
  this->transport->Stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void WebsocketPeerNetwork::SetBootstrapEndpoints(
    std::vector<Endpoint> contacts) {
  this->transport->Post([this, contacts = std::move(contacts)]() mutable {
    contacts.insert(contacts.end(), this->seeds.begin(), this->seeds.end());
    this->node->SetBootstrapEndpoints(std::move(contacts));
  });
}

void WebsocketPeerNetwork::SetOwnState(Offset config_offset,
                                       bool platform_reachable) {
  this->transport->Post([this, config_offset, platform_reachable] {
    this->node->SetOwnAttributes(config_offset, platform_reachable);
  });
}

void WebsocketPeerNetwork::Leave() {
  this->transport->Post([this] {
    this->node->Leave();
    this->node->PushChangedTopics();
  });
}

// Timer callbacks keep the transport alive, but not this object: after Stop,
// the transport drops the work that they post.

void WebsocketPeerNetwork::ScheduleTick() {
  this->clock->CallAfter(this->settings.tick_interval,
                         [this, transport = this->transport] {
                           transport->Post([this] {
                             this->node->Tick();
                             this->ScheduleTick();
                           });
                         });
}

void WebsocketPeerNetwork::ScheduleFlush() {
  if (this->flush_scheduled || !this->node->HasPendingPushes()) {
    return;
  }
  this->flush_scheduled = true;
  this->clock->CallAfter(kFlushDelay, [this, transport = this->transport] {
    transport->Post([this] {
      this->flush_scheduled = false;
      this->node->PushChangedTopics();
    });
  });
}

}  // namespace kumquatcart
