// Versions of the configuration that no longer list a service, while requests
// for it wait.
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

std::string StreamRequest() {
  return MakeRequest("GET", "/stream/x");
}

LoopServer::Script StaySilent(EntryFixture* fixture) {
  return [fixture](const auto& connection, Waiter* waiter, Coroutine yield) {
    fixture->received.push_back(ReadHead(connection.get(), waiter, yield));
    while (!connection->HasEnded()) {
      waiter->WaitUntil(MonotonicTime::max(), yield);
    }
  };
}

// Sends a request that has to wait, removes its service once `is_waiting`
// returns true and returns the answer. `duration` is the time from the removal
// to the answer.
std::string RemoveDuringRequest(EntryFixture* fixture,
                                const std::function<bool()>& is_waiting,
                                Duration* duration) {
  MonotonicTime removed_at;
  fixture->loop.Spawn([&](Coroutine yield) {
    while (!is_waiting()) {
      fixture->loop.Sleep(std::chrono::milliseconds(1), yield);
    }
    fixture->RemoveService("models");
    removed_at = fixture->loop.Now();
  });
  std::string answer = fixture->SendRequest(StreamRequest());
  *duration = fixture->loop.Now() - removed_at;
  return answer;
}

constexpr Duration kAtOnce = std::chrono::milliseconds(200);

// Guards against a process that ends at a version that arrives between a
// question to the slot coordinator and its answer.
TEST_CASE("A service is removed while its slot coordinator is asked") {
  EntryFixture fixture;
  fixture.AddGroup("a", StaySilent(&fixture));
  fixture.LoseSlotRequests();
  Duration duration{0};
  const std::string answer = RemoveDuringRequest(
      &fixture, [&] { return !fixture.asked.empty(); }, &duration);
  CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.received.empty());
}

// Guards against a request that waits for a slot of a service that nobody can
// assign any more.
TEST_CASE("A service is removed while its request is queued") {
  EntryFixture fixture;
  fixture.AddGroup("a", StaySilent(&fixture));
  for (int i = 0; i < 4; ++i) {  // Fills all slots of the group.
    fixture.SendAndDisconnect(StreamRequest(), std::chrono::seconds(3));
  }
  fixture.RunFor(std::chrono::milliseconds(30));
  CHECK(fixture.received.size() == 4);
  // Slots seem to become free often enough to wait for one.
  for (int i = 0; i < 20; ++i) {
    fixture.context.group_balancer->HandleRelease("group.a");
  }
  Duration duration{0};
  const MonotonicTime sent_at = fixture.loop.Now();
  const std::string answer = RemoveDuringRequest(
      &fixture,
      [&] {
        return fixture.loop.Now() - sent_at > std::chrono::milliseconds(30);
      },
      &duration);
  CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(duration < kAtOnce);
  CHECK(fixture.received.size() == 4);
}

}  // namespace
}  // namespace kumquatcart
