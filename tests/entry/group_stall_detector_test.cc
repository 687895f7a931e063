// Groups whose streams stall while their members change.
#include "entry/group_stall_detector.h"

#include <set>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

constexpr char kGroup[] = "g";
// Twice the time that the detector takes to suspect a group, and shorter than
// it takes to probe the head itself.
constexpr Duration kStallTime = milliseconds(700);
constexpr Duration kEventInterval = milliseconds(50);

// Two formations of a group, of which the first one finishes its requests, and
// a peer that plans their failure domain.
struct StallScene {
  StallScene() {
    this->peers.PutPeer("planner", "zone", Endpoint{"127.0.0.1", 1},
                        /*cores=*/2);
    NodeDigest digest;
    digest.node = "planner";
    digest.interval_ms = 10'000;
    REQUIRE(this->peers.AcceptDigest(digest, this->loop.Now()));
    for (const char* id : {"old-head", "old-member", "head", "member"}) {
      BackendServer server;
      server.id = id;
      server.failure_domain = "zone";
      this->view.PutServer(server, this->loop.Now());
    }
    this->Record(1, {"old-head", "old-member"});
    this->Record(2, {"head", "member"});
  }
  ~StallScene() { this->loop.UnwindCoroutines(); }
  StallScene(const StallScene&) = delete;
  StallScene& operator=(const StallScene&) = delete;

  void Record(std::int64_t epoch, std::vector<std::string> members) {
    GroupRecord record;
    record.group = kGroup;
    record.epoch = epoch;
    record.members = std::move(members);
    this->view.PutRecord(record);
  }

  // Runs for `kStallTime` while a stream under `epoch` makes progress. Returns
  // the servers that were suspected meanwhile.
  std::set<std::string> ProgressUnder(std::int64_t epoch) {
    std::set<std::string> suspected;
    RunCoroutine(&this->loop, [&](Coroutine yield) {
      const MonotonicTime end = this->loop.Now() + kStallTime;
      while (this->loop.Now() < end) {
        this->detector.NoteProgress(kGroup, epoch);
        this->loop.Sleep(kEventInterval, yield);
        for (const std::string& server : this->prober.SuspectedServers()) {
          suspected.insert(server);
        }
      }
    });
    return suspected;
  }

  EventLoop loop;
  FleetView view;
  PeerDirectory peers{"node", "zone", /*own_cores=*/1};
  HttpClient http{&this->loop};
  EngineClient engines{&this->loop, &this->http};
  StoreClient store{&this->loop, TcpEndpoint()};
  PlannerRole role{&this->loop, &this->peers, &this->store, "zone"};
  ServerProber prober{&this->loop, &this->engines,          &this->view,
                      &this->role, [](const PeerState&) {}, [] {}};
  GroupStallDetector detector{&this->loop, &this->view, &this->prober};
};

// Guards against a stalled group whose lost member is not noticed, since
// streams that its former head is still finishing make progress.
TEST_CASE("Progress under a former epoch does not hide a stall of a group") {
  StallScene scene;
  scene.detector.Start();
  scene.detector.Begin(kGroup, 1);
  scene.detector.Begin(kGroup, 2);
  const std::set<std::string> suspected = scene.ProgressUnder(1);
  CHECK(suspected.count("head") == 1);
  CHECK(suspected.count("member") == 1);
}

// Guards against requests at a former head that wait for a lost member until
// their deadline, since the present head makes progress.
TEST_CASE("A stall under a former epoch is one of its own members") {
  StallScene scene;
  scene.detector.Start();
  scene.detector.Begin(kGroup, 1);
  scene.detector.Begin(kGroup, 2);
  const std::set<std::string> suspected = scene.ProgressUnder(2);
  CHECK(suspected.count("old-head") == 1);
  CHECK(suspected.count("old-member") == 1);
}

// Guards against suspicion of a group whose streams have all ended.
TEST_CASE("A group without streams is not suspected") {
  StallScene scene;
  scene.detector.Start();
  scene.detector.Begin(kGroup, 2);
  scene.detector.End(kGroup, 2);
  CHECK(scene.ProgressUnder(2).empty());
  CHECK(scene.ProgressUnder(1).empty());
}

}  // namespace
}  // namespace kumquatcart
