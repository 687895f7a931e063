#include "peers/dissemination.h"

#include <memory>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "peers/peer_constants.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

// A monotonically increasing number that is its own digest.
class NumberTopic : public GossipTopic {
 public:
  std::string Name() const override { return "number"; }
  TopicScope Scope() const override { return this->scope; }
  Json Digest() const override { return this->number; }
  Result<Json> DeltaFor(const Json& digest, std::size_t) const override {
    if (!digest.is_number_integer()) {
      return MakeError(ErrorCode::kInvalidArgument, "not a number");
    }
    return digest.get<int>() < this->number ? Json(this->number) : Json();
  }
  Result<bool> Merge(const Json& delta) override {
    if (!delta.is_number_integer()) {
      return MakeError(ErrorCode::kInvalidArgument, "not a number");
    }
    const bool newer = delta.get<int>() > this->number;
    this->number = newer ? delta.get<int>() : this->number;
    return newer;
  }

  int number = 0;
  TopicScope scope = TopicScope::kEverywhere;
};

struct Peer {
  explicit Peer(std::uint64_t seed)
      : policy(DisseminationLimits(), &this->metrics, seed) {
    this->policy.AddTopic(this->topic);
  }

  MetricRegistry metrics;
  std::shared_ptr<NumberTopic> topic = std::make_shared<NumberTopic>();
  Dissemination policy;
};

// Peers in a full mesh; a link id is the index of the remote peer.
struct Mesh {
  explicit Mesh(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      this->peers.push_back(std::make_unique<Peer>(index));
    }
  }

  std::vector<LinkInfo> LinksOf(std::size_t self) const {
    std::vector<LinkInfo> links;
    for (std::size_t other = 0; other < this->peers.size(); ++other) {
      if (other != self) {
        links.push_back({other, true});
      }
    }
    return links;
  }

  void Send(std::size_t from, const std::vector<OutgoingMessage>& messages) {
    for (const OutgoingMessage& outgoing : messages) {
      const bool lost = static_cast<int>(this->random() % 100) < this->loss;
      if (!lost) {
        this->Receive(outgoing.link, from, outgoing.message);
      }
    }
  }

  void Receive(std::size_t to, std::size_t from, const PeerMessage& message) {
    Peer& peer = *this->peers[to];
    const LinkInfo link{from, true};
    if (std::holds_alternative<PushMessage>(message)) {
      ++this->pushes;
      this->Send(to, peer.policy.OnPush(link, std::get<PushMessage>(message)));
    } else {
      this->Send(to, peer.policy.OnDigest(
                         link, std::get<DigestMessage>(message), this->now));
    }
  }

  // One step of a node's periodic work: push, announce and, if `exchange`, a
  // digest exchange with a random peer.
  void Step(std::size_t self, bool exchange) {
    Peer& peer = *this->peers[self];
    const std::vector<LinkInfo> links = this->LinksOf(self);
    this->Send(self, peer.policy.PushChangedTopics(this->now, links));
    this->Send(self, peer.policy.AnnounceDueDigests(this->now, links));
    if (exchange && !links.empty()) {
      const LinkInfo& link = links[this->random() % links.size()];
      DigestMessage digest;
      digest.topics = peer.policy.DigestsFor(link);
      digest.wants_reply = true;
      this->Send(self, {{link.id, digest}});
    }
  }

  void AdvanceTime(Duration duration) {
    for (Duration spent{}; spent < duration; spent += milliseconds(100)) {
      this->now += milliseconds(100);
      for (std::size_t index = 0; index < this->peers.size(); ++index) {
        this->Step(index, spent.count() % milliseconds(1000).count() == 0);
      }
    }
  }

  bool AllHave(int number) const {
    for (const auto& peer : this->peers) {
      if (peer->topic->number != number) {
        return false;
      }
    }
    return true;
  }

  std::vector<std::unique_ptr<Peer>> peers;
  std::mt19937_64 random{7};
  MonotonicTime now{std::chrono::hours(1)};
  int loss = 0;  // Lost messages, in percent.
  std::size_t pushes = 0;
};

void Publish(Mesh* mesh, std::size_t at, int number) {
  mesh->peers[at]->topic->number = number;
  mesh->peers[at]->policy.MarkChanged("number");
}

TEST_CASE("Changes reach all nodes at 33 percent message loss") {
  rc::prop("random sizes and origins", [] {
    Mesh mesh(*rc::gen::inRange<std::size_t>(2, 30));
    mesh.random.seed(*rc::gen::arbitrary<std::uint32_t>());
    mesh.loss = 33;
    mesh.AdvanceTime(std::chrono::seconds(2));
    Publish(&mesh, *rc::gen::inRange<std::size_t>(0, mesh.peers.size()), 5);
    mesh.AdvanceTime(std::chrono::seconds(20));
    RC_ASSERT(mesh.AllHave(5));
  });
}

TEST_CASE(
    "Without loss changes reach all nodes before the next digest exchange") {
  Mesh mesh(30);
  mesh.AdvanceTime(std::chrono::seconds(30));
  mesh.pushes = 0;
  Publish(&mesh, 0, 5);
  mesh.AdvanceTime(milliseconds(900));
  REQUIRE(mesh.AllHave(5));
  REQUIRE(mesh.pushes <= 30 * 6);
}

TEST_CASE("Announcements repair lost pushes") {
  Mesh mesh(8);
  mesh.AdvanceTime(std::chrono::seconds(5));
  Publish(&mesh, 0, 5);
  mesh.loss = 100;
  mesh.Send(0,
            mesh.peers[0]->policy.PushChangedTopics(mesh.now, mesh.LinksOf(0)));
  mesh.loss = 0;
  // Only announcements are sent, no periodic digest exchange.
  for (int step = 0; step < 5; ++step) {
    mesh.now += milliseconds(100);
    for (std::size_t index = 0; index < mesh.peers.size(); ++index) {
      mesh.Step(index, false);
    }
  }
  REQUIRE(mesh.AllHave(5));
}

TEST_CASE(
    "A topic of failure domain scope is not sent outside the failure domain") {
  Peer peer(1);
  peer.topic->scope = TopicScope::kFailureDomain;
  peer.topic->number = 3;
  const LinkInfo outside{1, false};
  REQUIRE(peer.policy.DigestsFor(outside).empty());
  DigestMessage digest;
  digest.topics["number"] = 0;
  digest.wants_reply = true;
  REQUIRE(peer.policy.OnDigest(outside, digest, MonotonicTime()).empty());
  peer.policy.OnPush(outside, {"number", Json(9), Json(9)});
  REQUIRE(peer.topic->number == 3);
}

TEST_CASE(
    "Malformed changes are counted and refused, unknown topics are ignored") {
  Peer peer(1);
  const LinkInfo link{1, true};
  peer.policy.OnPush(link, {"number", Json("text"), Json(1)});
  peer.policy.OnPush(link, {"other", Json(1), Json(1)});
  DigestMessage digest;
  digest.topics["number"] = "text";
  peer.policy.OnDigest(link, digest, MonotonicTime());
  REQUIRE(peer.topic->number == 0);
  REQUIRE(!peer.policy.HasPendingPushes());
  REQUIRE(peer.metrics
              .GetCounter("kumquatcart_peer_messages_refused_total",
                          {{"reason", "malformed-topic"}})
              .Value() == 2);
}

}  // namespace
}  // namespace kumquatcart
