// Servers that reject a request and name a time in which they want no further
// ones.
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time between requests that are sent one after the other.
constexpr Duration kInterval = milliseconds(20);
// Within the latency target of the fixture's routes, which is 300 ms.
constexpr Duration kShortWait = milliseconds(120);
// Beyond it.
constexpr Duration kLongWait = milliseconds(1500);
// For rounding, and for requests that return one after the other.
constexpr Duration kRetryAfterMargin = milliseconds(1000);

std::string ToSeconds(Duration duration) {
  return std::to_string(std::chrono::duration<double>(duration).count());
}

Duration RetryAfterOf(const CallerAnswer& answer) {
  const std::string_view value = FindHeader(answer.headers, "Retry-After");
  return value.empty() ? Duration{0}
                       : std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(
                                 std::stod(std::string(value))));
}

// An entry VM and servers that count their requests.
class Backoffs {
 public:
  // A server that rejects every request that arrives until `wait` after the
  // first one, and names the time that is left.
  struct Server {
    int received = 0;
    int accepted = 0;
    Duration wait{0};
    MonotonicTime until = MonotonicTime::min();
    std::string status = "503 Service Unavailable";
    std::string value;  // Of Retry-After; empty: the time that is left.
  };

  LoopServer::Script Reject(Server* server) {
    return AnswerWith([this, server](const std::string& head) {
      const MonotonicTime now = this->fixture.loop.Now();
      ++server->received;
      if (server->until == MonotonicTime::min()) {
        server->until = now + server->wait;
      }
      if (now >= server->until) {
        ++server->accepted;
        return MakeAnswer(head, "200 OK", "id: 1\ndata: x\n\n");
      }
      const std::string value = server->value.empty()
                                    ? ToSeconds(server->until - now)
                                    : server->value;
      return WithField(
          WithField(MakeAnswer(head, server->status, ""), "X-Not-Executed: 1"),
          "Retry-After: " + value);
    });
  }

  // Sends requests one after the other for `duration`.
  std::vector<CallerAnswer> SendFor(const std::string& path,
                                    Duration duration) {
    std::vector<CallerAnswer> answers;
    const MonotonicTime end = this->fixture.loop.Now() + duration;
    while (this->fixture.loop.Now() < end) {
      this->sent_at.push_back(this->fixture.loop.Now());
      answers.push_back(this->fixture.Call(MakeRequest("GET", path)));
      this->answered_at.push_back(this->fixture.loop.Now());
      this->fixture.RunFor(kInterval);
    }
    return answers;
  }

  EntryFixture fixture;
  std::vector<MonotonicTime> sent_at;
  std::vector<MonotonicTime> answered_at;
};

int CountStatus(const std::vector<CallerAnswer>& answers, int status) {
  return static_cast<int>(std::count_if(answers.begin(), answers.end(),
                                        [status](const CallerAnswer& answer) {
                                          return answer.status == status;
                                        }));
}

// Checks that rejections of the only server came at once and that each named
// the end of its wait.
void CheckRejections(const Backoffs& backoffs,
                     const Backoffs::Server& server,
                     const std::vector<CallerAnswer>& answers) {
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (answers[i].status != 503) {
      continue;
    }
    CAPTURE(i);
    CHECK(backoffs.answered_at[i] - backoffs.sent_at[i] < kShortWait);
    const MonotonicTime return_at =
        backoffs.answered_at[i] + RetryAfterOf(answers[i]);
    CHECK(return_at >= server.until - milliseconds(2));
    CHECK(return_at <= server.until + kRetryAfterMargin);
  }
}

// Guards against requests that reach the only plain server while it waits,
// because each rejection is known only to the request that received it.
TEST_CASE("A plain server gets no request while it waits") {
  Backoffs backoffs;
  Backoffs::Server server;
  server.wait = kLongWait;
  backoffs.fixture.AddPlain("a", backoffs.Reject(&server));
  const auto answers =
      backoffs.SendFor("/again/x", kLongWait - milliseconds(300));
  CHECK(server.received == 1);
  CHECK(CountStatus(answers, 503) == static_cast<int>(answers.size()));
  CheckRejections(backoffs, server, answers);
}

// Guards against the same at the head of the only group.
TEST_CASE("The head of a group gets no request while it waits") {
  Backoffs backoffs;
  Backoffs::Server server;
  server.wait = kLongWait;
  backoffs.fixture.AddGroup("a", backoffs.Reject(&server));
  const auto answers =
      backoffs.SendFor("/stream/x", kLongWait - milliseconds(400));
  CHECK(server.received == 1);
  CHECK(CountStatus(answers, 503) == static_cast<int>(answers.size()));
  CheckRejections(backoffs, server, answers);
}

// Guards against a retry of each request at a server that waits, which has no
// request in progress and so looks best.
TEST_CASE("Requests go to the other group while a head waits") {
  Backoffs backoffs;
  Backoffs::Server waiting;
  Backoffs::Server other;
  waiting.wait = seconds(60);
  backoffs.fixture.AddGroup("a", backoffs.Reject(&waiting));
  backoffs.fixture.AddGroup("b", backoffs.Reject(&other));
  const auto answers = backoffs.SendFor("/stream/x", seconds(1));
  CHECK(waiting.received == 1);
  CHECK(CountStatus(answers, 200) == static_cast<int>(answers.size()));
}

// Guards against a wait that counts as a failure, for which the server is
// passed over long after its end.
TEST_CASE("A server gets requests again when its wait has ended") {
  Backoffs backoffs;
  Backoffs::Server waiting;
  Backoffs::Server other;
  waiting.wait = milliseconds(600);
  backoffs.fixture.AddPlain("a", backoffs.Reject(&waiting));
  backoffs.fixture.AddPlain("b", backoffs.Reject(&other));
  const auto answers = backoffs.SendFor("/again/x", seconds(1));
  CHECK(waiting.received - waiting.accepted == 1);
  CHECK(waiting.accepted >= 1);
  CHECK(CountStatus(answers, 200) == static_cast<int>(answers.size()));
}

// Guards against rejections although the wait ends within the latency target.
TEST_CASE("Requests wait for a server whose wait ends in time") {
  for (const std::string path : {"/again/x", "/stream/x"}) {
    CAPTURE(path);
    Backoffs backoffs;
    Backoffs::Server server;
    server.wait = kShortWait;
    if (path == "/again/x") {
      backoffs.fixture.AddPlain("a", backoffs.Reject(&server));
    } else {
      backoffs.fixture.AddGroup("a", backoffs.Reject(&server));
    }
    CHECK(backoffs.fixture.Call(MakeRequest("GET", path)).status == 503);
    CHECK(backoffs.fixture.Call(MakeRequest("GET", path)).status == 200);
    CHECK(server.received == 2);
  }
}

// Guards against a wait that outlives the server that named it: its next start
// has the same id.
TEST_CASE("A wait ends when its server starts again") {
  Backoffs backoffs;
  Backoffs::Server server;
  server.wait = seconds(60);
  backoffs.fixture.AddPlain("a", backoffs.Reject(&server));
  BackendServer started = *backoffs.fixture.view.FindServer("a");
  started.started_ms = 1000;
  backoffs.fixture.StartServer(started);
  CHECK(backoffs.fixture.Call(MakeRequest("GET", "/again/x")).status == 503);
  started.started_ms = 2000;
  backoffs.fixture.StartServer(started);
  server.until = backoffs.fixture.loop.Now();
  CHECK(backoffs.fixture.Call(MakeRequest("GET", "/again/x")).status == 200);
}

// Guards against a coordinator that assigns a server again and again because
// its backoff concerns another VM.
TEST_CASE("A slot at a server that waits is neither asked for nor used") {
  Backoffs backoffs;
  Backoffs::Server waiting;
  Backoffs::Server other;
  waiting.wait = seconds(60);
  backoffs.fixture.AddGroup("a", backoffs.Reject(&waiting));
  backoffs.fixture.AddGroup("b", backoffs.Reject(&other));
  backoffs.fixture.CoordinateBy("a");
  const auto answers = backoffs.SendFor("/stream/x", milliseconds(300));
  CHECK(waiting.received == 1);
  CHECK(CountStatus(answers, 200) == static_cast<int>(answers.size()));
  REQUIRE(backoffs.fixture.asked.size() >= 2);
  CHECK(backoffs.fixture.asked.back().excluded ==
        std::vector<std::string>{"a"});
}

// Guards against a coordinator whose own requests are held back and which then
// takes the groups for full, although its peers may use them.
TEST_CASE("A request that is held back does not hold back those of peers") {
  Backoffs backoffs;
  Backoffs::Server server;
  server.wait = kShortWait;
  EntryFixture& fixture = backoffs.fixture;
  fixture.AddGroup("a", backoffs.Reject(&server));
  CHECK(fixture.Call(MakeRequest("GET", "/stream/x")).status == 503);
  fixture.SendAndDisconnect(MakeRequest("GET", "/stream/x"), kShortWait / 2);
  fixture.RunFor(kInterval);
  SlotQuery query;
  query.service = "models";
  query.model = "m";
  query.latest_start = fixture.loop.Now() + seconds(1);
  query.wait_until = query.latest_start;
  bool is_granted = false;
  const SlotRequestPtr request = fixture.context.group_balancer->EnqueueForPeer(
      query, [&is_granted](const GroupRecord&) { is_granted = true; });
  CHECK(is_granted);
}

// Guards against a Retry-After that leads callers back to a server which still
// waits, because a second server has no backoff but was tried as well.
TEST_CASE("Rejected callers return when the first of the servers does") {
  Backoffs backoffs;
  Backoffs::Server longer;
  Backoffs::Server shorter;
  longer.wait = seconds(60);
  shorter.wait = seconds(2);
  backoffs.fixture.AddPlain("a", backoffs.Reject(&longer));
  backoffs.fixture.AddPlain("b", backoffs.Reject(&shorter));
  const auto answers = backoffs.SendFor("/again/x", milliseconds(200));
  CHECK(longer.received == 1);
  CHECK(shorter.received == 1);
  CheckRejections(backoffs, shorter, answers);
}

// Guards against values that are no time and stop a server for ever, or the
// process.
TEST_CASE("A wait that is no time is ignored") {
  for (const std::string value :
       {"-1", "nan", "inf", "1e300", "soon", "0", "99999999999999999999",
        "Sat, 05 Dec 2026 12:00:00 GMT", "1,5"}) {
    CAPTURE(value);
    Backoffs backoffs;
    Backoffs::Server server;
    server.wait = seconds(60);
    server.value = value;
    backoffs.fixture.AddPlain("a", backoffs.Reject(&server));
    backoffs.SendFor("/again/x", milliseconds(100));
    CHECK(server.received >= 2);
  }
}

// Guards against the wait of another server that has the address now.
TEST_CASE("A misdirected request names no wait") {
  Backoffs backoffs;
  Backoffs::Server server;
  server.wait = seconds(60);
  server.status = "421 Misdirected Request";
  backoffs.fixture.AddPlain("a", backoffs.Reject(&server));
  backoffs.SendFor("/again/x", milliseconds(100));
  CHECK(server.received >= 2);
}

}  // namespace
}  // namespace kumquatcart
