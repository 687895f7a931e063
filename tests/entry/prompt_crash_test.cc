// Parts of prompts under which servers end, on one entry VM.
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 8;
constexpr Duration kInterval = milliseconds(60);
// Time until a server answers, and until it ends then.
constexpr Duration kWork = milliseconds(10);
// Until the prober finds that a server has ended.
constexpr Duration kFound = milliseconds(640);
// How long a server is away that has ended.
constexpr Duration kAway = milliseconds(1300);
// The platform's bound: from this time after the fifth end on, three more
// requests may reach servers; from twice this time on, others must be served.
constexpr Duration kSettling = seconds(3);
constexpr std::size_t kEnds = 5;
constexpr char kBadPart[] = "bad0c0de";

// How far a server gets with an answer under which it ends.
struct Ending {
  const char* name;
  bool is_framed;
  std::string text;  // After the head.
  bool has_head = true;
  Duration delay = kWork;  // Until it ends, whether or not the caller has left.
  bool is_whole = false;   // The answer is; `text` is not used.
  // Its connections stay open, and the prober finds that it has ended.
  bool stays_open = false;
};
const Ending kEndings[] = {{"after the head", true, ""},
                           {"after the head, unframed", false, ""},
                           {"within the first event", true, "id: 1\nda"},
                           {"within it, unframed", false, "id: 1\nda"},
                           {"after it", true, "id: 1\ndata: x\n\n"},
                           {"after it, unframed", false, "id: 1\ndata: x\n\n"}};

std::string Events(int count) {
  std::string events;
  for (int i = 1; i <= count; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: x\n\n";
  }
  return events;
}

std::string AsChunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", text.size());
  return text.empty() ? "" : std::string(size) + "\r\n" + text + "\r\n";
}

// An entry VM with groups of one server each, which end when they begin to
// answer a prompt with a bad part.
class Crashes {
 public:
  explicit Crashes(Ending ending, int servers = kServers) : ending(ending) {
    for (int i = 0; i < servers; ++i) {
      this->away_until.push_back(MonotonicTime::min());
      this->fixture.AddGroup("s" + std::to_string(i), this->MakeScript(i));
    }
  }

  // Sends a request with the prompt and returns its status.
  int Send(const std::string& prompt, const std::string& path = "/stream/x") {
    this->ProbeServers();
    const std::string field =
        prompt.empty() ? "" : "X-Prompt-Prefix: " + prompt + "\r\n";
    this->last = this->fixture.Call(MakeRequest("GET", path, field));
    return this->last.status;
  }

  MonotonicTime Now() const { return this->fixture.loop.Now(); }

  EntryFixture fixture;
  std::vector<MonotonicTime> arrivals;  // Of requests with the bad part.
  std::vector<MonotonicTime> ends;
  bool ends_under_all = false;  // Servers end under every prompt.
  CallerAnswer last;

 private:
  // Stands for the prober of the planner.
  void ProbeServers() {
    for (std::size_t i = 0; i < this->away_until.size(); ++i) {
      this->fixture.view.SetReachable("s" + std::to_string(i), !this->IsAway(i),
                                      this->Now());
    }
  }

  bool IsAway(std::size_t server) const {
    return this->Now() < this->away_until[server];
  }

  LoopServer::Script MakeScript(int index) {
    const auto server = static_cast<std::size_t>(index);
    return [this, server](const auto& connection, Waiter* waiter,
                          Coroutine yield) {
      for (;;) {
        const std::string head = ReadHead(connection.get(), waiter, yield);
        if (head.empty() || this->IsAway(server) ||
            !this->Answer(server, head, connection.get(), yield)) {
          break;
        }
      }
      connection->Close();
    };
  }

  // Returns false when the server has ended.
  bool Answer(std::size_t server,
              const std::string& head,
              TcpConnection* connection,
              Coroutine yield) {
    if (head.rfind("GET /api/report", 0) == 0) {
      connection->Send(MakeAnswer(head, "200 OK", "{}"));
      return true;
    }
    const bool is_bad = head.find(kBadPart) != std::string::npos;
    if (is_bad) {
      this->arrivals.push_back(this->Now());
    }
    this->fixture.loop.Sleep(kWork, yield);
    if (!is_bad && !this->ends_under_all) {
      connection->Send(MakeAnswer(head, "200 OK", Events(5)));
      return true;
    }
    if (this->ending.has_head) {
      connection->Send(this->BeginAnswer(head));
    }
    this->fixture.loop.Sleep(this->ending.delay, yield);
    if (this->IsAway(server)) {
      return false;  // It has ended under another request.
    }
    this->ends.push_back(this->Now());
    this->away_until[server] = this->Now() + kAway;
    this->fixture.Server(server)->RefuseFor(kAway);
    if (this->ending.stays_open) {
      this->fixture.loop.Sleep(kFound, yield);
      this->ProbeServers();
      this->fixture.WakeSessions();
      this->fixture.loop.Sleep(kSettling, yield);
    }
    return false;
  }

  // What a server sends of the answer under which it ends.
  std::string BeginAnswer(const std::string& head) const {
    if (this->ending.is_whole) {
      return MakeAnswer(head, "200 OK", Events(5));
    }
    std::string answer = MakeAnswer(head, "200 OK", "");
    const std::string length = "Content-Length: 0\r\n";
    answer.replace(
        answer.find(length), length.size(),
        this->ending.is_framed ? "Transfer-Encoding: chunked\r\n" : "");
    return answer + (this->ending.is_framed ? AsChunk(this->ending.text)
                                            : this->ending.text);
  }

  const Ending ending;
  std::vector<MonotonicTime> away_until;
};

const Ending kNoHead{"before the head", true, "", false};

const std::string kBadPrompt = std::string("5afe01:40,") + kBadPart + ":9,a1:6";
constexpr char kSoundPrompt[] = "5afe01:40,b1:6";

// Sends a bad request and a sound one in turn, and checks the platform's
// bounds. `send_bad`: sends a bad one.
void CheckBounds(const Ending& ending,
                 const std::function<void(Crashes*)>& send_bad) {
  CAPTURE(ending.name);
  Crashes crashes(ending);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(crashes.Send(kSoundPrompt) == 200);
  }
  int sent = 0;
  int served = 0;
  const MonotonicTime begin = crashes.Now();
  const MonotonicTime end = begin + 4 * kSettling;
  while (crashes.Now() < end) {
    send_bad(&crashes);
    crashes.fixture.RunFor(kInterval);
    const int status = crashes.Send(kSoundPrompt);
    crashes.fixture.RunFor(kInterval);
    const std::size_t known = std::min(crashes.ends.size(), kEnds);
    if (known > 0 && crashes.Now() > crashes.ends[known - 1] + 2 * kSettling) {
      ++sent;
      served += status == 200 ? 1 : 0;
    }
  }
  REQUIRE_FALSE(crashes.ends.empty());
  const auto late =
      std::count_if(crashes.arrivals.begin(), crashes.arrivals.end(),
                    [&crashes](MonotonicTime at) {
                      return crashes.ends.size() >= kEnds &&
                             at > crashes.ends[kEnds - 1] + kSettling;
                    });
  CHECK(late <= 3);
  REQUIRE(sent >= 15);
  CHECK(2 * served >= sent);
}

void SendBad(Crashes* crashes) {
  crashes->Send(kBadPrompt);
}

// Guards against a part of a prompt that ends one server after the other,
// because each end is known only to the request that met it: requests with the
// part go on to servers, and others find none.
TEST_CASE("Requests under which servers end are kept from the others") {
  CheckBounds(kEndings[2], SendBad);
}

// Guards against a part that is never refused because its servers end before a
// byte of their answers has left them.
TEST_CASE("Servers that end before their heads are evidence") {
  CheckBounds(kNoHead, SendBad);
}

// Guards against a part that is never refused because its callers leave before
// its servers end.
TEST_CASE("Servers that end after the caller has left are evidence") {
  CheckBounds(
      {"after the caller has left", true, Events(1), true, kWork * 5},
      [](Crashes* crashes) {
        crashes->fixture.SendAndDisconnect(
            MakeRequest("GET", "/stream/x",
                        std::string("X-Prompt-Prefix: ") + kBadPrompt + "\r\n"),
            kWork * 5);
      });
}

// Guards against a part that each answer clears before its server ends, a
// little later.
TEST_CASE("Servers that end after whole answers are evidence") {
  Ending ending{"after the whole answer", true, ""};
  ending.is_whole = true;
  ending.delay = milliseconds(100);
  CheckBounds(ending, SendBad);
}

// Servers that end under a prompt, with requests that come one after the other,
// are no more than five; then the part is refused and others are served.
void CheckRecognised(const Ending& ending, const std::string& prompt) {
  for (const char* path : {"/stream/x", "/stream-once/x"}) {
    CAPTURE(ending.name, prompt, path);
    Crashes crashes(ending);
    REQUIRE(crashes.Send("5afe01:40,5afe02:40,b1:6") == 200);
    for (int i = 0; i < 12; ++i) {
      crashes.Send(prompt, path);
      crashes.fixture.RunFor(milliseconds(20));
    }
    CHECK(crashes.ends.size() <= kEnds);
    const std::size_t arrivals = crashes.arrivals.size();
    CHECK(crashes.Send(prompt, path) == 503);
    CHECK(crashes.arrivals.size() == arrivals);
    CHECK(crashes.Send(kSoundPrompt) == 200);
  }
}

// Guards against crashes that are recognised only by one form of the answer, or
// in one place of the prompt.
TEST_CASE("A part under which servers end is recognised in every form") {
  const std::string places[] = {
      std::string(kBadPart) + ":9,5afe01:40,a1:6", kBadPrompt,
      std::string("5afe01:40,5afe02:40,") + kBadPart + ":9,a1:6"};
  std::size_t place = 0;
  for (const Ending& ending : kEndings) {
    CheckRecognised(ending, places[place++ % std::size(places)]);
  }
  CheckRecognised(kNoHead, kBadPrompt);
}

// Guards against a run that counts as sound before it has ended its server,
// because it got past the beginning of its answer.
TEST_CASE("A part under which servers end is recognised late in the answer") {
  for (const int events : {2, 3, 4, 12}) {
    const std::string name = "after " + std::to_string(events) + " events";
    CheckRecognised({name.c_str(), true, Events(events)}, kBadPrompt);
    CheckRecognised({name.c_str(), false, Events(events)}, kBadPrompt);
    CheckRecognised({name.c_str(), true, Events(events) + "id: 90\nda"},
                    kBadPrompt);
  }
}

// Guards against a part that is never refused because the connections of ended
// servers stay open: the runs end for the loss of their group, and the servers
// are known as lost by then.
TEST_CASE("A part under which servers end silently is recognised") {
  Ending ending{"silently within the answer", true, Events(4)};
  ending.stays_open = true;
  CheckRecognised(ending, kBadPrompt);
}

// Guards against a part that all requests share and that is blamed for servers
// which end for another reason, all at once.
TEST_CASE("Servers that end for another reason hold nothing back") {
  for (const bool was_served : {true, false}) {
    CAPTURE(was_served);
    Crashes crashes(kEndings[2]);
    if (was_served) {
      REQUIRE(crashes.Send(kSoundPrompt) == 200);
    }
    crashes.ends_under_all = true;
    for (std::size_t i = 0; i < kEnds; ++i) {
      crashes.fixture.SendAndDisconnect(
          MakeRequest("GET", "/stream-once/x",
                      std::string("X-Prompt-Prefix: ") + kSoundPrompt + "\r\n"),
          milliseconds(400));
    }
    crashes.fixture.RunFor(milliseconds(500));
    crashes.ends_under_all = false;
    CHECK(crashes.ends.size() >= kEnds);
    crashes.fixture.RunFor(kAway);
    for (int i = 0; i < 10; ++i) {
      CHECK(crashes.Send(kSoundPrompt) == 200);
    }
  }
}

// Guards against descriptions of prompts of another form than the platform
// states, which must neither be blamed nor rejected.
TEST_CASE("Prompts without shared parts are served after servers ended") {
  std::string many;
  for (int i = 0; i < 300; ++i) {
    many += std::to_string(1000 + i) + ":1,";
  }
  for (const std::string& prompt :
       {std::string(), std::string("5afe01:40"), std::string("x-y:40,a1:6"),
        std::string("5afe01,a1"), std::string("5afe01:,a1:6"),
        std::string("5afe01:99999999999999999999,a1:6"),
        std::string("5afe01:-1,a1:6"), std::string(",,,"),
        std::string("5afe01:4,5afe01:4,a1:6"), std::string("a1:6,a1:6"),
        many + "a1:6"}) {
    CAPTURE(prompt);
    Crashes crashes(kEndings[2]);
    crashes.ends_under_all = true;
    for (std::size_t i = 0; i < 4; ++i) {
      crashes.Send(prompt, "/stream-once/x");
    }
    crashes.ends_under_all = false;
    CHECK(crashes.ends.size() == 4);
    CHECK(crashes.Send(prompt) == 200);
  }
}

// Guards against plain servers that count as ended because they answer no
// report: they break off answers and go on.
TEST_CASE("Broken answers of plain servers hold no prompt back") {
  EntryFixture fixture;
  int received = 0;
  for (const char* id : {"a", "b"}) {
    fixture.AddPlain(
        id, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
          const std::string head = ReadHead(connection.get(), waiter, yield);
          if (head.rfind("GET /api/report", 0) == 0) {
            connection->Send(MakeAnswer(head, "404 Not Found", ""));
          } else if (!head.empty()) {
            ++received;
            const std::string answer = MakeAnswer(head, "200 OK", "whole");
            connection->Send(answer.substr(0, answer.size() - 2));
          }
          fixture.loop.Sleep(kWork, yield);
          connection->Close();
        });
  }
  const std::string request =
      MakeRequest("GET", "/again/x",
                  std::string("X-Prompt-Prefix: ") + kBadPrompt + "\r\n");
  for (int i = 1; i <= 5; ++i) {
    CHECK(fixture.Call(request).status == 502);
    CHECK(received == 2 * i);
    fixture.RunFor(milliseconds(100));
  }
}

}  // namespace
}  // namespace kumquatcart
