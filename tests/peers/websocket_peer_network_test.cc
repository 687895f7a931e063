#include "peers/websocket_peer_network.h"

#include <future>
#include <memory>
#include <mutex>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

// A monotonically increasing number; `arrived` is set by a merge.
class ArrivalTopic : public GossipTopic {
 public:
  std::string Name() const override { return "arrival"; }
  Json Digest() const override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->number;
  }
  Result<Json> DeltaFor(const Json& digest, std::size_t) const override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return digest == this->number || this->number == 0 ? Json()
                                                       : Json(this->number);
  }
  Result<bool> Merge(const Json& delta) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (delta.get<int>() <= this->number) {
      return false;
    }
    this->number = delta.get<int>();
    this->arrived.set_value(this->number);
    return true;
  }

  mutable std::mutex mutex;
  int number = 0;
  std::promise<int> arrived;
};

struct RunningNode {
  RunningNode(const std::string& name, const PeerSettings& settings) {
    NodeIdentity identity;
    identity.id = NodeId(name);
    this->network = std::make_unique<WebsocketPeerNetwork>(
        &this->clock, &this->metrics, identity, std::string(32, 'k'), settings,
        [](const MemberTable&) {});
    this->network->AddTopic(this->topic);
    REQUIRE(this->network->Start().has_value());
  }

  RuntimeClock clock;
  MetricRegistry metrics;
  std::shared_ptr<ArrivalTopic> topic = std::make_shared<ArrivalTopic>();
  std::unique_ptr<WebsocketPeerNetwork> network;
};

TEST_CASE(
    "Changes reach all nodes over real connections with one seed configured") {
  PeerSettings settings;
  settings.listen = "127.0.0.1:0";
  RunningNode seed("seed", settings);
  settings.seeds = "127.0.0.1:" + std::to_string(seed.network->ListeningPort());
  RunningNode first("first", settings);
  RunningNode second("second", settings);
  {
    const std::lock_guard<std::mutex> lock(first.topic->mutex);
    first.topic->number = 9;
  }
  first.network->SchedulePush("arrival");
  REQUIRE(second.topic->arrived.get_future().get() == 9);
  REQUIRE(seed.topic->arrived.get_future().get() == 9);
}

TEST_CASE("Start returns an error for a port in use") {
  PeerSettings settings;
  settings.listen = "127.0.0.1:0";
  RunningNode first("first", settings);
  settings.listen =
      "127.0.0.1:" + std::to_string(first.network->ListeningPort());
  MetricRegistry metrics;
  WebsocketPeerNetwork second(&first.clock, &metrics, NodeIdentity(),
                              std::string(32, 'k'), settings,
                              [](const MemberTable&) {});
  const Status started = second.Start();
  REQUIRE(!started.has_value());
  REQUIRE(started.error().code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace kumquatcart
