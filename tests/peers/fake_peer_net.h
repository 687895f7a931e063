// Peer nodes connected by an in-memory transport under a manual clock.
#ifndef TESTS_PEERS_FAKE_PEER_NET_H_
#define TESTS_PEERS_FAKE_PEER_NET_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "peers/peer_node.h"

namespace kumquatcart {

// Delivers frames between nodes immediately and in order. A cut pair of nodes
// loses frames without an error; a frozen node receives its frames later.
class FakePeerNetwork {
 public:
  struct Node;

  // Transport of one node.
  class Transport : public PeerTransport {
   public:
    Transport(FakePeerNetwork* net, std::size_t self) : net(net), self(self) {}
    LinkId Connect(const Endpoint& endpoint) override {
      const LinkId link = ++this->net->last_link;
      const std::size_t other = endpoint.port;
      this->net->remote_ends[{this->self, link}] = {other, link};
      this->net->remote_ends[{other, link}] = {this->self, link};
      const bool reachable =
          !this->net->IsCut(this->self, other) && this->net->nodes[other];
      if (reachable) {
        this->net->Enqueue(this->self, link, Event::kOpenedHere, "");
        this->net->Enqueue(other, link, Event::kOpenedThere, "");
      }
      return link;
    }
    void Send(LinkId link, const std::string& frame) override {
      const auto remote = this->net->remote_ends.find({this->self, link});
      const bool lost = remote == this->net->remote_ends.end() ||
                        this->net->IsCut(this->self, remote->second.first) ||
                        this->net->silent_links.count(link) > 0;
      if (!lost) {
        this->net->Enqueue(remote->second.first, link, Event::kFrame, frame);
      }
    }
    void Close(LinkId link) override {
      const auto remote = this->net->remote_ends.find({this->self, link});
      if (remote == this->net->remote_ends.end()) {
        return;
      }
      const std::size_t other = remote->second.first;
      this->net->remote_ends.erase(remote);
      if (!this->net->IsCut(this->self, other)) {
        this->net->Enqueue(other, link, Event::kClosed, "");
      }
    }

   private:
    FakePeerNetwork* net;
    std::size_t self;
  };

  struct Node {
    Node(FakePeerNetwork* net,
         std::size_t index,
         const std::string& key,
         const PeerSettings& settings)
        : transport(net, index),
          peer(&net->clock,
               &this->transport,
               MakeIdentity(index),
               key,
               settings,
               &this->metrics,
               index + 1,
               [this](const MemberTable& table) { this->members = table; }) {}

    MetricRegistry metrics;
    MemberTable members;
    Transport transport;
    PeerNode peer;
  };

  static NodeIdentity MakeIdentity(std::size_t index) {
    NodeIdentity identity;
    identity.id = NodeId("node" + std::to_string(index));
    identity.failure_domain = FailureDomainId("fd" + std::to_string(index % 2));
    identity.peer_endpoint = {"10.0.0.1", static_cast<std::uint16_t>(index)};
    return identity;
  }

  // Node 0 is the seed of all nodes.
  explicit FakePeerNetwork(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->AddNode(std::string(32, 'k'));
    }
  }

  Node& AddNode(const std::string& key) {
    const std::size_t index = this->nodes.size();
    this->nodes.push_back(
        std::make_unique<Node>(this, index, key, this->settings));
    this->nodes.back()->peer.SetBootstrapEndpoints({{"10.0.0.1", 0}});
    return *this->nodes.back();
  }

  // Advances the clock in ticks; frozen nodes neither tick nor receive frames.
  void AdvanceTime(Duration duration) {
    for (Duration spent{}; spent < duration;
         spent += this->settings.tick_interval) {
      this->clock.Advance(this->settings.tick_interval);
      for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (this->nodes[index] && this->frozen.count(index) == 0) {
          this->nodes[index]->peer.Tick();
        }
      }
      this->Deliver();
    }
  }

  // Delivers until no event is pending, except for frozen nodes.
  void Deliver() {
    std::deque<Delivery> deferred;
    while (!this->queue.empty()) {
      const Delivery delivery = std::move(this->queue.front());
      this->queue.pop_front();
      if (this->frozen.count(delivery.to) > 0) {
        deferred.push_back(delivery);
      } else if (this->nodes[delivery.to]) {
        this->Dispatch(delivery);
      }
      if (this->queue.empty()) {
        this->FlushAll();
      }
    }
    this->queue = std::move(deferred);
  }

  void StopNode(std::size_t index) { this->nodes[index].reset(); }

  MemberState StateAt(std::size_t observer, std::size_t subject) const {
    const auto& members = this->nodes[observer]->members.members;
    const auto found = members.find(MakeIdentity(subject).id);
    return found == members.end() ? MemberState::kDead : found->second.state;
  }

  // True if every running node has every running node in state kAlive.
  bool AllAlive() const {
    for (std::size_t one = 0; one < this->nodes.size(); ++one) {
      for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        const bool both = this->nodes[one] && this->nodes[other];
        if (both && this->StateAt(one, other) != MemberState::kAlive) {
          return false;
        }
      }
    }
    return true;
  }

  std::uint64_t Count(std::size_t node, const std::string& metric) {
    return this->nodes[node]->metrics.GetCounter(metric).Value();
  }
  std::uint64_t Refused(std::size_t node, const std::string& reason) {
    return this->nodes[node]
        ->metrics
        .GetCounter("kumquatcart_peer_messages_refused_total",
                    {{"reason", reason}})
        .Value();
  }

  ManualClock clock;
  PeerSettings settings;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<std::pair<std::size_t, std::size_t>> cuts;  // Lower index first.
  std::set<LinkId> silent_links;
  std::set<std::size_t> frozen;
  LinkId last_link = 0;

 private:
  enum class Event { kOpenedHere, kOpenedThere, kFrame, kClosed };
  struct Delivery {
    std::size_t to = 0;
    LinkId link = 0;
    Event event = Event::kFrame;
    std::string frame;
  };

  bool IsCut(std::size_t one, std::size_t other) const {
    return this->cuts.count(std::minmax(one, other)) > 0;
  }
  void Enqueue(std::size_t to,
               LinkId link,
               Event event,
               const std::string& frame) {
    this->queue.push_back({to, link, event, frame});
  }
  void Dispatch(const Delivery& delivery) {
    PeerNode& peer = this->nodes[delivery.to]->peer;
    if (this->remote_ends.count({delivery.to, delivery.link}) == 0) {
      return;
    }
    if (delivery.event == Event::kFrame) {
      peer.OnFrame(delivery.link, delivery.frame);
    } else if (delivery.event == Event::kClosed) {
      this->remote_ends.erase({delivery.to, delivery.link});
      peer.OnClosed(delivery.link);
    } else {
      peer.OnOpen(delivery.link, delivery.event == Event::kOpenedHere);
    }
  }
  void FlushAll() {
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      const bool running = this->frozen.count(index) == 0;
      if (this->nodes[index] && running &&
          this->nodes[index]->peer.HasPendingPushes()) {
        this->nodes[index]->peer.PushChangedTopics();
      }
    }
  }

  std::deque<Delivery> queue;
  std::map<std::pair<std::size_t, LinkId>, std::pair<std::size_t, LinkId>>
      remote_ends;
};

}  // namespace kumquatcart

#endif  // TESTS_PEERS_FAKE_PEER_NET_H_
