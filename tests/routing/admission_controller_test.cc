#include "routing/admission_controller.h"

#include <algorithm>
#include <map>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routing/routing_fixture.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  Fixture() {
    settings.overcommit = 1;
    PublishModelService(&board, "llm");
    admission = std::make_unique<AdmissionController>(&clock, &board, &demand,
                                                      &metrics, settings);
  }

  AdmissionRequest Make(const std::string& id,
                        const std::string& organisation,
                        Duration deadline) {
    AdmissionRequest request;
    request.request = RequestId(id);
    request.organisation = ObjectName(organisation);
    request.service = ServiceName("llm");
    request.deadline = clock.Now() + deadline;
    return request;
  }

  // Submits a request and records its decision under the request id.
  AdmissionRequest Submit(const std::string& id,
                          const std::string& organisation = "org",
                          Duration deadline = seconds(100)) {
    AdmissionRequest request = this->Make(id, organisation, deadline);
    this->admission->Submit(request, [this, id](const Status& status) {
      REQUIRE(this->decisions.count(id) == 0);
      this->decisions.emplace(id, status);
    });
    return request;
  }

  bool IsAdmitted(const std::string& id) const {
    const auto found = this->decisions.find(id);
    return found != this->decisions.end() && found->second.has_value();
  }

  bool IsRefused(const std::string& id) const {
    const auto found = this->decisions.find(id);
    return found != this->decisions.end() && found->second.has_error();
  }

  ManualClock clock;
  Board board{MakeIdentity("n1", "fd-a")};
  DemandTable demand{&clock, NodeId("n1"), seconds(30)};
  MetricRegistry metrics;
  AdmissionSettings settings;
  std::unique_ptr<AdmissionController> admission;
  std::map<std::string, Status> decisions;
};

TEST_CASE(
    "Admitted requests never exceed the capacity of the backend servers") {
  rc::prop("and every request is decided exactly once", [] {
    Fixture fixture;
    const int capacity = *rc::gen::inRange(1, 6);
    PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", capacity));
    std::vector<AdmissionRequest> running;
    const int count = *rc::gen::inRange(1, 40);
    std::vector<AdmissionRequest> submitted;
    for (int step = 0; step < count; ++step) {
      submitted.push_back(fixture.Submit(std::to_string(step)));
      if (*rc::gen::arbitrary<bool>()) {
        for (const AdmissionRequest& request : submitted) {
          if (fixture.IsAdmitted(request.request.value)) {
            fixture.admission->Complete(request, 1);
            submitted.erase(
                std::find(submitted.begin(), submitted.end(), request));
            break;
          }
        }
      }
      const auto now_running = std::count_if(
          submitted.begin(), submitted.end(), [&](const auto& request) {
            return fixture.IsAdmitted(request.request.value);
          });
      RC_ASSERT(now_running <= capacity);
      // Work-conserving: no request waits while there is free capacity.
      RC_ASSERT(now_running ==
                std::min<std::ptrdiff_t>(capacity, submitted.size()));
    }
  });
}

TEST_CASE(
    "A request that cannot meet its deadline is refused at once with a retry "
    "delay") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", 1));
  fixture.Submit("running");
  fixture.Submit("waits", "org", seconds(5));
  fixture.Submit("late", "org", milliseconds(1500));
  REQUIRE(fixture.IsAdmitted("running"));
  REQUIRE_FALSE(fixture.decisions.count("waits"));
  REQUIRE(fixture.IsRefused("late"));
  REQUIRE(fixture.decisions.at("late").error().retry_after_ms >= 1500);
}

TEST_CASE("A queued request is refused as soon as its deadline cannot be met") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", 1));
  fixture.admission->Start();
  fixture.Submit("running");
  fixture.Submit("waits", "org", seconds(2));
  fixture.clock.Advance(milliseconds(1900));
  REQUIRE_FALSE(fixture.decisions.count("waits"));
  fixture.clock.Advance(milliseconds(200));
  REQUIRE(fixture.IsRefused("waits"));
  fixture.admission->Stop();
}

TEST_CASE("A service with no whole group refuses at once") {
  Fixture fixture;
  fixture.Submit("r");
  REQUIRE(fixture.decisions.at("r").error().code == ErrorCode::kUnavailable);
  REQUIRE(fixture.decisions.at("r").error().retry_after_ms > 0);
}

TEST_CASE("A backlog of one organisation does not starve another") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", 1));
  const AdmissionRequest running = fixture.Submit("running", "large");
  for (int index = 0; index < 50; ++index) {
    fixture.Submit("large-" + std::to_string(index), "large");
  }
  fixture.Submit("small", "small");
  fixture.admission->Complete(running, 1);
  const bool next_is_small = fixture.IsAdmitted("small");
  fixture.admission->Complete(fixture.Make("large-0", "large", seconds(0)), 1);
  REQUIRE((next_is_small || fixture.IsAdmitted("small")));
}

TEST_CASE("A quota limits an organisation across all nodes") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", 1000));
  fixture.board.config.Update([](ConfigView view) {
    Quota& quota = view.quotas[ObjectName("q")].body;
    quota.organisation = ObjectName("org");
    quota.service = ObjectName("llm");
    quota.requests_per_second = 10;
    return view;
  });
  // A second node without demand gets its floor and half of the unused limit.
  DemandTable other(&fixture.clock, NodeId("n2"), seconds(30));
  fixture.clock.Advance(seconds(1));
  other.Publish();
  REQUIRE(fixture.demand.Merge(other.DeltaFor(Json::object(), 10000).value())
              .value());
  int admitted = 0;
  for (int index = 0; index < 100; ++index) {
    fixture.Submit(std::to_string(index));
    admitted += fixture.IsAdmitted(std::to_string(index)) ? 1 : 0;
  }
  // Half of 10 requests per second with a burst of two seconds.
  REQUIRE(admitted == 10);
  fixture.Submit("unlimited", "other-org");
  REQUIRE(fixture.IsAdmitted("unlimited"));
}

TEST_CASE("An abandoned request is removed from the queue") {
  Fixture fixture;
  PublishGroup(&fixture.board, MakeGroup("g", "llm", "fd-a", 1));
  const AdmissionRequest running = fixture.Submit("running");
  fixture.Submit("left");
  fixture.Submit("next");
  fixture.admission->CancelWaiting(RequestId("left"));
  REQUIRE(fixture.decisions.at("left").error().code == ErrorCode::kCancelled);
  fixture.admission->Complete(running, 1);
  REQUIRE(fixture.IsAdmitted("next"));
}

}  // namespace
}  // namespace kumquatcart
