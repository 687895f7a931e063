// What servers of the soak answer and accuse, and what survives their end.
#include "soak/server_stand_in.h"

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "soak/answer_form.h"

namespace kumquatcart::soak {
namespace {

using std::chrono::milliseconds;

// Longer than a load of weights, the forming of a group, a lapse of an entry.
constexpr Duration kLoaded = milliseconds(1100);
constexpr Duration kFormed = milliseconds(300);
constexpr Duration kLapsed = milliseconds(1800);
// Longer than a proxy takes to cut its connections.
constexpr Duration kCut = milliseconds(60);

const std::vector<std::string> kMembers{"a", "b"};

// VMs and servers beside a store whose entries the test reads.
class Servers {
 public:
  std::shared_ptr<ServerHost> AddHost() {
    auto host = std::make_shared<ServerHost>(&this->loop, "zone");
    REQUIRE(host->Start().has_value());
    return host;
  }

  ServerStandIn* Start(const std::shared_ptr<ServerHost>& host,
                       const std::string& id,
                       bool forms_groups = true) {
    this->servers.push_back(std::make_unique<ServerStandIn>(
        ServerParts{&this->loop, &this->server_entries, &this->ledger,
                    &this->limits, &this->backoffs, &this->readiness,
                    &this->retries, &this->table},
        id, "service", forms_groups, host));
    REQUIRE(this->servers.back()->Start().has_value());
    return this->servers.back().get();
  }

  HttpResponse Send(const std::shared_ptr<ServerHost>& host,
                    const std::string& target,
                    const std::string& expected_id,
                    const std::string& body,
                    Coroutine yield,
                    const std::string& request_id = "r") {
    HttpClient client(&this->loop);
    OutgoingRequest request{body.empty() ? "GET" : "POST",
                            target,
                            {{"X-Request-Id", request_id}},
                            body};
    if (!expected_id.empty()) {
      request.headers.push_back({"X-Expect-Instance", expected_id});
    }
    return client.Exchange(host->Address(), request, TestDeadline(&this->loop),
                           Duration{0}, yield);
  }

  int Order(const ServerStandIn& server, const Json& order, Coroutine yield) {
    return this
        ->Send(server.Host(), "/api/order", server.Id(), order.dump(), yield)
        .status;
  }

  Json Report(const std::shared_ptr<ServerHost>& host,
              const std::string& expected_id,
              Coroutine yield) {
    const HttpResponse reply =
        this->Send(host, "/api/report", expected_id, "", yield);
    REQUIRE(reply.HasResponseStatus(kHttpOk));
    return ParseJson(reply.body).value();
  }

  EventLoop loop;
  std::map<std::string, Json> entries;
  RunLedger ledger;

 private:
  LimitLedger limits;
  BackoffLedger backoffs;
  ReadinessLedger readiness;
  RetryLedger retries{RetryRules{}};
  ServerEntries server_entries{
      [this](const std::string& id, const std::optional<std::string>& value) {
        if (value) {
          this->entries[id] = ParseJson(*value).value();
        } else {
          this->entries.erase(id);
        }
      }};
  ServerTable table;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
};

Json JoinOrder(std::int64_t epoch) {
  return {{"op", "join"},
          {"group", "g"},
          {"epoch", epoch},
          {"model", "m"},
          {"members", kMembers}};
}

Json OpenOrder(std::int64_t epoch) {
  return {{"op", "open"}, {"group", "g"}, {"epoch", epoch}};
}

// Lets "a" head a group with "b", which joins it and ends if `joins`, and
// returns what the ledger accuses after a request at "a".
std::vector<std::string> AccusationsAfterEndOfMember(bool joins) {
  Servers servers;
  RunCoroutine(&servers.loop, [&](Coroutine yield) {
    ServerStandIn* head = servers.Start(servers.AddHost(), "a");
    ServerStandIn* member = servers.Start(servers.AddHost(), "b");
    CHECK(servers.Order(*head, JoinOrder(1), yield) == kHttpAccepted);
    if (joins) {
      CHECK(servers.Order(*member, JoinOrder(1), yield) == kHttpAccepted);
    }
    servers.loop.Sleep(kLoaded, yield);
    CHECK(servers.Order(*head, OpenOrder(1), yield) == kHttpAccepted);
    servers.loop.Sleep(kFormed, yield);
    member->Die();
    servers.ledger.NoteSent("r", RequestKind::kStream);
    servers.Send(head->Host(), "/stream/x", "a", "", yield);
  });
  servers.loop.UnwindCoroutines();
  return servers.ledger.Judge();
}

// Guards against a check that passes over members without a running server:
// such a group was opened on the report of another server (PARTIAL).
TEST_CASE("A group that runs without a member that never joined is accused") {
  CHECK(AccusationsAfterEndOfMember(false) ==
        std::vector<std::string>{"r ran in g of which b was never ready"});
}

TEST_CASE("A group that loses a member that was ready breaks nothing") {
  CHECK(AccusationsAfterEndOfMember(true).empty());
}

// Guards against a stand-in that hides the cause of PARTIAL: a report says the
// state of whoever has the address, only orders and requests are declined.
TEST_CASE("A report is answered by whichever server has the address") {
  Servers servers;
  RunCoroutine(&servers.loop, [&](Coroutine yield) {
    const auto host = servers.AddHost();
    servers.Start(host, "a")->Die();
    servers.loop.Sleep(kCut, yield);
    const ServerStandIn* next = servers.Start(host, "b");
    const Json report = servers.Report(host, "a", yield);
    CHECK(report.at("born") == servers.entries.at("b").at("born"));
    CHECK(report.at("born") > servers.entries.at("a").at("born"));
    for (const char* target : {"/api/order", "/stream/x"}) {
      CHECK(servers.Send(host, target, "a", JoinOrder(1).dump(), yield)
                .HasResponseStatus(kHttpMisdirectedRequest));
    }
    CHECK(servers.Order(*next, JoinOrder(1), yield) == kHttpAccepted);
  });
  servers.loop.UnwindCoroutines();
  CHECK(servers.ledger.Judge().empty());
}

TEST_CASE("A server that starts again has its VM's models and no group") {
  Servers servers;
  RunCoroutine(&servers.loop, [&](Coroutine yield) {
    ServerStandIn* server = servers.Start(servers.AddHost(), "a");
    servers.Order(*server, JoinOrder(1), yield);
    servers.loop.Sleep(kLoaded, yield);
    CHECK(server->GroupMembers() == kMembers);
    server->Die();
    servers.loop.Sleep(kCut, yield);
    servers.Start(server->Host(), "a");
    const Json report = servers.Report(server->Host(), "a", yield);
    CHECK(report.at("staged") == Json{"m"});
    CHECK(report.at("models").empty());
    CHECK(report.at("seq") == 0);
    CHECK_FALSE(report.contains("group"));
    // The end of the first start does not remove the entry of the second one.
    servers.loop.Sleep(kLapsed, yield);
    CHECK(servers.entries.at("a").at("born") == report.at("born"));
  });
  servers.loop.UnwindCoroutines();
}

TEST_CASE("Writes are held back during a cut, and the entry lapses or stays") {
  for (const StoreCut cut : {StoreCut::kEntryLapses, StoreCut::kEntryStays}) {
    CAPTURE(ToString(cut));
    Servers servers;
    RunCoroutine(&servers.loop, [&](Coroutine yield) {
      ServerStandIn* server = servers.Start(servers.AddHost(), "a");
      server->CutFromStore(cut);
      server->Die();
      servers.loop.Sleep(kCut, yield);
      servers.Start(server->Host(), "b");
      servers.loop.Sleep(kLapsed, yield);
      CHECK(servers.entries.count("a") ==
            (cut == StoreCut::kEntryStays ? 1 : 0));
      CHECK(servers.entries.count("b") == 0);
      server->Host()->SetStoreCut(StoreCut::kNone);
      servers.loop.Sleep(kCut, yield);
      CHECK(servers.entries.count("a") == 0);
      CHECK(servers.entries.count("b") == 1);
    });
    servers.loop.UnwindCoroutines();
  }
}

// Guards against an accusation of the program for a stream that its server
// ended as complete between two events: where the framing of a broken answer
// ends, each write must end within an event.
TEST_CASE("An answer whose framing ends when it breaks off splits its events") {
  std::vector<AnswerForm> forms{AnswerForm{}};
  for (int i = 0; i < 1000; ++i) {
    forms.push_back(DrawAnswerForm("server", std::to_string(i)));
  }
  for (const AnswerForm& form : forms) {
    CHECK((form.break_end != BreakEnd::kFramed || form.splits_events));
  }
}

// Guards against a soak whose servers break off no answer or all of them, so
// that it says nothing about the retry budget.
TEST_CASE("A server breaks off the given share of its plain answers") {
  constexpr int kRequests = 40;
  for (const double share : {0.0, 0.5, 1.0}) {
    CAPTURE(share);
    Servers servers;
    int whole = 0;
    RunCoroutine(&servers.loop, [&](Coroutine yield) {
      const auto host = servers.AddHost();
      servers.Start(host, "a", false)->BreakAnswers(share);
      for (int i = 0; i < kRequests; ++i) {
        const std::string id = std::to_string(i);
        servers.ledger.NoteSent(id, RequestKind::kIdempotent);
        const HttpResponse reply =
            servers.Send(host, "/again/x", "", "", yield, id);
        whole += reply.result == ExchangeResult::kAnswered ? 1 : 0;
        CHECK(servers.ledger.RunsOf(id) == std::vector<std::string>{"a"});
      }
    });
    servers.loop.UnwindCoroutines();
    if (share == 0.0 || share == 1.0) {
      CHECK(whole == (share == 0.0 ? kRequests : 0));
    } else {
      CHECK(whole > kRequests / 4);
      CHECK(whole < kRequests * 3 / 4);
    }
  }
}

// Guards against streams whose events follow each other at once, since bytes
// that are sent wake the server: no caller leaves within such a stream.
TEST_CASE("The events of a stream come at intervals") {
  constexpr Duration kShortest = milliseconds(250);
  Servers servers;
  RunCoroutine(&servers.loop, [&](Coroutine yield) {
    ServerStandIn* head = servers.Start(servers.AddHost(), "a");
    ServerStandIn* member = servers.Start(servers.AddHost(), "b");
    CHECK(servers.Order(*head, JoinOrder(1), yield) == kHttpAccepted);
    CHECK(servers.Order(*member, JoinOrder(1), yield) == kHttpAccepted);
    servers.loop.Sleep(kLoaded, yield);
    CHECK(servers.Order(*head, OpenOrder(1), yield) == kHttpAccepted);
    servers.loop.Sleep(kFormed, yield);
    servers.ledger.NoteSent("r", RequestKind::kStream);
    const MonotonicTime sent_at = servers.loop.Now();
    CHECK(servers.Send(head->Host(), "/stream/x", "a", "", yield)
              .HasResponseStatus(kHttpOk));
    CHECK(servers.loop.Now() - sent_at >= kShortest);
  });
  servers.loop.UnwindCoroutines();
}

// Guards against a request that is sent to an address without the server's id.
TEST_CASE("A request at a server of the other service is accused") {
  Servers servers;
  RunCoroutine(&servers.loop, [&](Coroutine yield) {
    const auto host = servers.AddHost();
    servers.Start(host, "a", false);
    servers.ledger.NoteSent("r", RequestKind::kStream);
    servers.Send(host, "/stream/x", "", "", yield);
  });
  servers.loop.UnwindCoroutines();
  CHECK(servers.ledger.Judge() ==
        std::vector<std::string>{"a got r, which is not of its service"});
}

}  // namespace
}  // namespace kumquatcart::soak
