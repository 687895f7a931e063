// Requests that reach backend servers of a failure domain after the operator
// has ordered to evacuate it.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"
#include "entry/process_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kEvent1[] = "id: 1\ndata: x\n\n";
constexpr char kEvent2[] = "id: 2\ndata: x\n\n";

// Servers `a`, `b` and `c`, each in the failure domain of its name, that count
// their requests.
class ThreeDomains {
 public:
  using AddServer =
      std::function<void(ThreeDomains* domains, const std::string& id)>;

  explicit ThreeDomains(const AddServer& add) {
    for (const std::string id : {"a", "b", "c"}) {
      add(this, id);
      this->MoveTo(id, id);
    }
  }

  explicit ThreeDomains(bool has_groups)
      : ThreeDomains([has_groups](ThreeDomains* self, const std::string& id) {
          const auto script = AnswerWith([self, id](const std::string& head) {
            ++self->received[id];
            return MakeAnswer(head, "200 OK", kEvent1);
          });
          if (has_groups) {
            self->fixture.AddGroup(id, script);
          } else {
            self->fixture.AddPlain(id, script);
          }
        }) {}

  void MoveTo(const std::string& id, const std::string& failure_domain) {
    BackendServer server = *this->fixture.view.FindServer(id);
    server.failure_domain = failure_domain;
    this->fixture.view.PutServer(server, this->fixture.loop.Now());
  }

  void SetEvacuated(const std::string& failure_domain, bool evacuated) {
    this->fixture.view.SetEvacuated(failure_domain, evacuated,
                                    this->fixture.loop.Now());
  }

  EntryFixture fixture;
  std::map<std::string, int> received;
};

constexpr int kRequests = 20;

void CheckDomains(bool has_groups, const std::string& path) {
  ThreeDomains domains(has_groups);
  const auto send = [&] {
    domains.received.clear();
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
      served += domains.fixture.Call(MakeRequest("GET", path)).status == 200;
    }
    return served;
  };
  domains.SetEvacuated("a", true);
  CHECK(send() == kRequests);
  CHECK(domains.received["a"] == 0);
  domains.SetEvacuated("b", true);
  CHECK(send() == kRequests);
  CHECK(domains.received["c"] == kRequests);
  domains.SetEvacuated("c", true);
  CHECK(send() == 0);
  CHECK(domains.received.empty());
  domains.SetEvacuated("b", false);
  CHECK(send() == kRequests);
  CHECK(domains.received["b"] == kRequests);
}

TEST_CASE("Plain servers of evacuated failure domains get no request") {
  CheckDomains(false, "/again/x");
  CheckDomains(false, "/once/x");
}

TEST_CASE("Groups of evacuated failure domains get no request") {
  CheckDomains(true, "/stream/x");
  CheckDomains(true, "/stream-once/x");
}

// Guards against callers that wait for groups that the operator keeps empty.
TEST_CASE("A request is rejected at once when every domain is evacuated") {
  for (const bool has_groups : {false, true}) {
    CAPTURE(has_groups);
    ThreeDomains domains(has_groups);
    for (const char* domain : {"a", "b", "c"}) {
      domains.SetEvacuated(domain, true);
    }
    const MonotonicTime begin = domains.fixture.loop.Now();
    const CallerAnswer answer = domains.fixture.Call(
        MakeRequest("GET", has_groups ? "/stream/x" : "/again/x"));
    CHECK(answer.status == 503);
    CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
    CHECK(domains.fixture.loop.Now() - begin < std::chrono::seconds(1));
  }
}

// The domain after `domain`, in turn.
std::string Next(const std::string& domain) {
  return domain == "a" ? "b" : domain == "b" ? "c" : "a";
}

// The server at which the stream begins sends one event, has its own domain and
// the next one evacuated, and sends the other event or breaks off.
LoopServer::Script EvacuateInStream(ThreeDomains* domains,
                                    const std::string& id,
                                    bool breaks_off,
                                    std::vector<std::string>* runs) {
  return [=](const auto& connection, Waiter* waiter, Coroutine yield) {
    const std::string head = ReadHead(connection.get(), waiter, yield);
    runs->push_back(id);
    const std::string whole =
        MakeAnswer(head, "200 OK", std::string(kEvent1) + kEvent2);
    if (runs->size() > 1) {
      connection->Send(MakeAnswer(head, "200 OK", kEvent2));
    } else {
      const std::size_t first_part = whole.size() - std::string(kEvent2).size();
      connection->Send(whole.substr(0, first_part));
      domains->fixture.loop.Sleep(std::chrono::milliseconds(20), yield);
      domains->SetEvacuated(id, true);
      domains->SetEvacuated(Next(id), true);
      domains->fixture.WakeSessions();
      domains->fixture.loop.Sleep(std::chrono::milliseconds(20), yield);
      if (!breaks_off) {
        connection->Send(kEvent2);
      }
    }
    while (connection->UnsentBytes() > 0) {
      waiter->WaitUntil(MonotonicTime::max(), yield);
    }
    connection->Close();
  };
}

// Guards against an order that cuts off what runs, and against a resumption in
// another domain that was ordered out while the stream ran.
TEST_CASE("A stream ends where it runs, or resumes outside evacuated domains") {
  for (const bool breaks_off : {false, true}) {
    CAPTURE(breaks_off);
    std::vector<std::string> runs;
    ThreeDomains domains([&](ThreeDomains* self, const std::string& id) {
      self->fixture.AddGroup(id, EvacuateInStream(self, id, breaks_off, &runs));
    });
    const CallerAnswer answer =
        domains.fixture.Call(MakeRequest("GET", "/stream/x"));
    CHECK(answer.body == std::string(kEvent1) + kEvent2);
    REQUIRE(runs.size() == (breaks_off ? 2U : 1U));
    if (breaks_off) {
      CHECK(runs[1] == Next(Next(runs[0])));
    }
  }
}

// Guards against records of the operator that do not reach the balancers, and
// against an order that a new process does not read.
TEST_CASE("An entry VM follows the operator's orders to evacuate a domain") {
  const auto put = [](Deployment* deployment, const std::string& value) {
    deployment->store.Put("keyed.op", "evacuate/a", value);
  };
  Deployment deployment(Duration{0}, kStopGrace,
                        [&](Deployment* self) { put(self, "{}"); });
  RunCoroutine(&deployment.loop, [&](Coroutine yield) {
    const auto status = [&] {
      return deployment.SendRequest(deployment.settings.callers, "/x/1", yield)
          .status;
    };
    const auto await = [&](int wanted) {
      const MonotonicTime deadline = TestDeadline(&deployment.loop);
      while (status() != wanted && deployment.loop.Now() < deadline) {
        deployment.loop.Sleep(std::chrono::milliseconds(10), yield);
      }
      return status() == wanted;
    };
    deployment.WaitUntilReady(yield);
    CHECK(status() == 503);
    CHECK(deployment.runs == 0);
    put(&deployment, "");
    CHECK(await(200));
    put(&deployment, "{}");
    put(&deployment, "");
    put(&deployment, "{}");
    CHECK(await(503));
    const int runs = deployment.runs;
    CHECK(status() == 503);
    CHECK(deployment.runs == runs);
  });
}

}  // namespace
}  // namespace kumquatcart
