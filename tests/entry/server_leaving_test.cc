// Servers that say in their answers that they are leaving.
#include <string>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

constexpr int kRequests = 10;

// Counts its requests and says with each answer that it is leaving.
LoopServer::Script Leave(int* received, const std::string& status = "200 OK") {
  return AnswerWith([received, status](const std::string& head) {
    ++*received;
    return WithField(MakeAnswer(head, status, "id: 1\ndata: x\n\n"),
                     "Server-Leaving: 1");
  });
}

LoopServer::Script Stay(int* received) {
  return AnswerWith([received](const std::string& head) {
    ++*received;
    return MakeAnswer(head, "200 OK", "id: 1\ndata: x\n\n");
  });
}

// Sends requests one after the other; returns how many were served.
int CountServed(EntryFixture* fixture, const std::string& path) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served += fixture->Call(MakeRequest("GET", path)).status == 200 ? 1 : 0;
  }
  return served;
}

// Guards against requests for a plain server that has said that it is leaving,
// while its entry in the store does not say so.
TEST_CASE("A plain server that says it is leaving gets no further request") {
  EntryFixture fixture;
  int leaving = 0;
  int staying = 0;
  fixture.AddPlain("a", Leave(&leaving));
  fixture.AddPlain("b", Stay(&staying));
  CHECK(CountServed(&fixture, "/again/x") == kRequests);
  CHECK(leaving == 1);
  CHECK(staying == kRequests - 1);
}

// Guards against the same at the head of a group.
TEST_CASE("A head that says it is leaving gets no further request") {
  EntryFixture fixture;
  int leaving = 0;
  int staying = 0;
  fixture.AddGroup("a", Leave(&leaving));
  fixture.AddGroup("b", Stay(&staying));
  CHECK(CountServed(&fixture, "/stream/x") == kRequests);
  CHECK(leaving <= 1);
}

// Guards against requests that wait for the only server although it is leaving.
TEST_CASE("Without another server requests are rejected at once") {
  EntryFixture fixture;
  int leaving = 0;
  fixture.AddPlain("a", Leave(&leaving));
  CHECK(CountServed(&fixture, "/again/x") == 1);
  const MonotonicTime sent_at = fixture.loop.Now();
  const CallerAnswer answer = fixture.Call(MakeRequest("GET", "/again/x"));
  CHECK(answer.status == 503);
  CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  CHECK(fixture.loop.Now() - sent_at < std::chrono::milliseconds(100));
  CHECK(leaving == 1);
}

// Guards against an entry written before, or written again after its loss, that
// undoes what the server said; and against the word of a former start.
TEST_CASE("Only a later start of a server that was leaving gets requests") {
  EntryFixture fixture;
  int leaving = 0;
  fixture.AddPlain("a", Leave(&leaving));
  BackendServer server = *fixture.view.FindServer("a");
  server.started_ms = 1000;
  fixture.StartServer(server);
  CHECK(CountServed(&fixture, "/again/x") == 1);
  fixture.StartServer(server);
  CHECK(CountServed(&fixture, "/again/x") == 0);
  fixture.view.RemoveServer("a", fixture.loop.Now());
  fixture.view.ExpireServers(fixture.loop.Now());
  fixture.StartServer(server);
  CHECK(CountServed(&fixture, "/again/x") == 0);
  server.started_ms = 2000;
  fixture.StartServer(server);
  CHECK(CountServed(&fixture, "/again/x") == 1);
}

// Guards against the word of another server that has the address now.
TEST_CASE("A misdirected request says nothing of the server that was meant") {
  EntryFixture fixture;
  int misdirected = 0;
  fixture.AddPlain("a", Leave(&misdirected, "421 Misdirected Request"));
  CountServed(&fixture, "/again/x");
  CHECK(misdirected == kRequests);
}

}  // namespace
}  // namespace kumquatcart
