// Requests that run in regions where their route, or their caller's
// organisation, does not allow it.
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

using Regions = std::vector<std::string>;

constexpr int kRequests = 20;

// Servers `east`, `west` and `north`, each in the region and the failure domain
// of its name, except that the region of the last one is not known.
class RegionServers {
 public:
  explicit RegionServers(bool has_groups)
      : path(has_groups ? "/stream/x" : "/again/x") {
    for (const std::string id : {"east", "west", "north"}) {
      const auto script = AnswerWith([this, id](const std::string& head) {
        ++this->received[id];
        return MakeAnswer(head, "200 OK", "data: x\n\n");
      });
      if (has_groups) {
        this->fixture.AddGroup(id, script);
      } else {
        this->fixture.AddPlain(id, script);
      }
      BackendServer server = *this->fixture.view.FindServer(id);
      server.failure_domain = id;
      this->fixture.view.PutServer(server, this->fixture.loop.Now());
    }
    this->fixture.context.regions = {{"east", "east"}, {"west", "west"}};
  }

  // Sends requests one after the other; returns how many were served.
  int Send(const Regions& of_route, const Regions& of_organisation) {
    this->fixture.ChangeConfig([&](RoutingConfig* config) {
      for (RouteRule& route : config->routes) {
        route.regions = of_route;
      }
      config->holders["key"].regions = of_organisation;
    });
    this->received.clear();
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      const int status =
          this->fixture.Call(MakeRequest("GET", this->path)).status;
      CHECK((status == 200 || status == 503));
      served += status == 200 ? 1 : 0;
    }
    return served;
  }

  EntryFixture fixture;
  std::map<std::string, int> received;

 private:
  const std::string path;
};

TEST_CASE("Requests run only in regions that route and organisation allow") {
  using Received = std::map<std::string, int>;
  for (const bool has_groups : {false, true}) {
    CAPTURE(has_groups);
    RegionServers servers(has_groups);
    CHECK(servers.Send({"east"}, {}) == kRequests);
    CHECK(servers.received == Received{{"east", kRequests}});
    CHECK(servers.Send({}, {"west"}) == kRequests);
    CHECK(servers.received == Received{{"west", kRequests}});
    CHECK(servers.Send({"east", "west"}, {"west"}) == kRequests);
    CHECK(servers.received == Received{{"west", kRequests}});
    // Neither in common, nor where the region is not known.
    CHECK(servers.Send({"east"}, {"west"}) == 0);
    CHECK(servers.Send({"north"}, {}) == 0);
    CHECK(servers.received.empty());
    CHECK(servers.Send({}, {}) == kRequests);
  }
}

// Guards against a slot coordinator of an older program, which may grant what
// the request must not use.
TEST_CASE("A granted slot in another region is not used") {
  RegionServers servers(/*has_groups=*/true);
  servers.fixture.CoordinateBy("west");
  CHECK(servers.Send({"east"}, {}) == kRequests);
  CHECK(servers.received.count("west") == 0);
}

}  // namespace
}  // namespace kumquatcart
