// Rate limits that backend servers name in their answers.
#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

// The platform's tolerance: in any 4 s a server may get one and a half times
// its limit and 5 requests more.
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kExtraRequests = 5;

constexpr double kLimit = 2;
constexpr int kRequests = 60;

int CountWithStatus(const std::vector<std::string>& answers,
                    const std::string& status) {
  return static_cast<int>(
      std::count_if(answers.begin(), answers.end(), [&](const auto& answer) {
        return answer.rfind("HTTP/1.1 " + status, 0) == 0;
      }));
}

int CountWithRetryAfter(const std::vector<std::string>& answers) {
  return static_cast<int>(
      std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
        return answer.find("Retry-After: ") != std::string::npos;
      }));
}

// Entry VM whose servers count their requests.
struct LimitedServers {
  // Names `limit` in each answer if it is not empty.
  LoopServer::Script Count(int* count, const std::string* limit) {
    return AnswerWith([count, limit](const std::string& head) {
      ++*count;
      const std::string answer =
          MakeAnswer(head, "200 OK", "id: 1\ndata: x\n\n");
      return limit->empty() ? answer
                            : WithField(answer, "Server-Limit: " + *limit);
    });
  }

  // Sends requests one after the other and returns the answers.
  std::vector<std::string> SendMany(const std::string& path,
                                    int requests = kRequests) {
    std::vector<std::string> answers;
    const MonotonicTime start = this->fixture.loop.Now();
    for (int i = 0; i < requests; ++i) {
      answers.push_back(this->fixture.SendRequest(MakeRequest("GET", path)));
    }
    this->elapsed = this->fixture.loop.Now() - start;
    return answers;
  }

  // Requests that the limited server may have received meanwhile.
  double Allowed() const {
    const std::chrono::duration<double> seconds =
        std::max<Duration>(this->elapsed, kWindow);
    return kTolerance * kLimit * seconds.count() + kExtraRequests;
  }

  EntryFixture fixture;
  std::string limit = "2.0";
  std::string no_limit;
  int limited = 0;
  int unlimited = 0;
  Duration elapsed{0};
};

// Guards against a plain server that gets requests at the full rate after it
// has named a limit.
TEST_CASE("A plain server gets no more requests than its limit") {
  LimitedServers servers;
  servers.fixture.AddPlain("a",
                           servers.Count(&servers.limited, &servers.limit));
  const auto answers = servers.SendMany("/again/x");
  CHECK(servers.limited <= servers.Allowed());
  CHECK(servers.limited >= 1);
  CHECK(CountWithStatus(answers, "200") == servers.limited);
  CHECK(CountWithStatus(answers, "503") == kRequests - servers.limited);
  CHECK(CountWithRetryAfter(answers) == kRequests - servers.limited);
}

// Guards against rejections while a server without a limit is available.
TEST_CASE("Requests over a server's limit go to another server") {
  LimitedServers servers;
  servers.fixture.AddPlain("a",
                           servers.Count(&servers.limited, &servers.limit));
  servers.fixture.AddPlain(
      "b", servers.Count(&servers.unlimited, &servers.no_limit));
  const auto answers = servers.SendMany("/again/x");
  CHECK(servers.limited <= servers.Allowed());
  CHECK(servers.limited >= 1);
  CHECK(CountWithStatus(answers, "200") == kRequests);
}

// Guards against a group whose head gets requests at the full rate after it has
// named a limit.
TEST_CASE("The head of a group gets no more requests than its limit") {
  LimitedServers servers;
  servers.fixture.AddGroup("a",
                           servers.Count(&servers.limited, &servers.limit));
  servers.fixture.AddGroup(
      "b", servers.Count(&servers.unlimited, &servers.no_limit));
  const auto answers = servers.SendMany("/stream/x");
  CHECK(servers.limited <= servers.Allowed());
  CHECK(servers.limited >= 1);
  CHECK(CountWithStatus(answers, "200") == kRequests);
}

// Guards against requests that are held until their deadline although the rate
// limit of the only group cannot serve them in time.
TEST_CASE("Requests over the limit of the only group are rejected at once") {
  constexpr int kFew = 20;
  LimitedServers servers;
  servers.limit = "0.1";
  servers.fixture.AddGroup("a",
                           servers.Count(&servers.limited, &servers.limit));
  const auto answers = servers.SendMany("/stream/x", kFew);
  CHECK(servers.limited <= 3);
  CHECK(CountWithStatus(answers, "503") == kFew - servers.limited);
  CHECK(CountWithRetryAfter(answers) == kFew - servers.limited);
  CHECK(servers.elapsed < std::chrono::seconds(3));
}

// Guards against a limit that a wrong value or another server's answer sets.
TEST_CASE("A limit that is not a rate is ignored") {
  for (const std::string value : {"-1", "nan", "2,5", "1e9x", "many"}) {
    CAPTURE(value);
    LimitedServers servers;
    servers.limit = value;
    servers.fixture.AddPlain("a",
                             servers.Count(&servers.limited, &servers.limit));
    const auto answers = servers.SendMany("/again/x", 10);
    CHECK(CountWithStatus(answers, "200") == 10);
  }
}

}  // namespace
}  // namespace kumquatcart
