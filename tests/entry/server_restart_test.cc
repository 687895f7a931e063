// Requests to plain servers that start again under their id.
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

constexpr std::int64_t kFirstStart = 1'000;
constexpr std::int64_t kSecondStart = 2'000;
// Time for exchanges on loopback, which take a few milliseconds.
constexpr Duration kExchangeTime = std::chrono::milliseconds(100);

// Two servers of one service, of which requests prefer the first one.
struct RestartScene {
  RestartScene() {
    this->fixture.AddPlain(
        "a", [this](const auto& connection, Waiter* waiter, Coroutine yield) {
          const std::string head = ReadHead(connection.get(), waiter, yield);
          ++this->arrivals;
          const bool fails = this->is_failing;
          while (this->is_hanging && !connection->HasEnded()) {
            this->fixture.loop.Sleep(std::chrono::milliseconds(1), yield);
          }
          if (!fails) {
            connection->Send(MakeAnswer(head, "200 OK", "a"));
            this->fixture.loop.Sleep(kExchangeTime, yield);
          }
          connection->Close();
        });
    this->fixture.AddPlain("b", AnswerWith([](const std::string& head) {
                             return MakeAnswer(head, "200 OK", "b");
                           }));
    this->Start(kFirstStart);
  }

  // The entry of a start of server "a" arrives.
  void Start(std::int64_t started_ms) {
    BackendServer server = *this->fixture.view.FindServer("a");
    server.started_ms = started_ms;
    this->fixture.view.PutServer(server, this->fixture.loop.Now());
  }

  std::string Call() {
    return this->fixture.Call(MakeRequest("GET", "/again/x")).body;
  }

  EntryFixture fixture;
  bool is_failing = true;
  bool is_hanging = false;
  int arrivals = 0;  // Requests at "a".
};

// Guards against a server that gets no requests after it has started again,
// since those that its former start failed count against it.
TEST_CASE("Failures of a former start do not count against a server") {
  RestartScene scene;
  CHECK(scene.Call() == "b");
  CHECK(scene.Call() == "b");
  CHECK(scene.arrivals == 1);  // Avoided after the failure.
  scene.is_failing = false;
  scene.Start(kSecondStart);
  CHECK(scene.Call() == "a");
}

// Guards against the same by requests that the former start leaves without an
// answer, which end after the next start is known.
TEST_CASE("Failures of requests to a former start do not count later either") {
  RestartScene scene;
  scene.is_hanging = true;
  for (int i = 0; i < 3; ++i) {
    scene.fixture.SendAndDisconnect(MakeRequest("GET", "/again/x"),
                                    10 * kExchangeTime);
  }
  scene.fixture.RunFor(kExchangeTime);
  REQUIRE(scene.arrivals >= 1);
  scene.Start(kSecondStart);
  scene.is_failing = false;
  scene.is_hanging = false;
  scene.fixture.RunFor(kExchangeTime);
  CHECK(scene.Call() == "a");
}

}  // namespace
}  // namespace kumquatcart
