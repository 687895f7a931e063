// Answers whose status ends no exchange: their callers must not get them.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

// Three digits that are no HTTP status, 101 (nothing offers another protocol),
// and status lines that are no HTTP.
const std::vector<std::string> kOddStatuses = {
    "000",  "001", "099", "600", "999", "101", "0",    "20",
    "2000", "+20", "-20", "abc", "2x0", "",    "0200", "1e2"};

std::string OddAnswer(const std::string& head,
                      const std::string& status,
                      bool is_sealed) {
  std::string answer = MakeAnswer(head, "200 OK", "data: odd\n\n");
  const std::string line = "HTTP/1.1 200 OK";
  answer.replace(0, line.size(), "HTTP/1.1 " + status + " Odd");
  const std::size_t seal = answer.find("X-Response-Seal");
  if (!is_sealed && seal != std::string::npos) {
    answer.erase(seal, answer.find("\r\n", seal) + 2 - seal);
  }
  return answer;
}

// Two servers of either service. The first answer has `status`, the next one
// is sound.
class OddServers {
 public:
  OddServers(const std::string& status, bool is_sealed) {
    const auto answer = [this, status, is_sealed](const std::string& head) {
      this->fixture.received.push_back(head);
      return this->fixture.received.size() == 1
                 ? OddAnswer(head, status, is_sealed)
                 : MakeAnswer(head, "200 OK", "data: sound\n\n");
    };
    for (const char* id : {"a", "b"}) {
      this->fixture.AddPlain(std::string("plain-") + id, AnswerWith(answer));
      this->fixture.AddGroup(id, AnswerWith(answer));
    }
  }

  EntryFixture fixture;
};

template <class Check>
void ForEachOddStatus(const Check& check) {
  for (const std::string& status : kOddStatuses) {
    for (const bool is_sealed : {true, false}) {
      CAPTURE(status, is_sealed);
      OddServers servers(status, is_sealed);
      check(&servers.fixture);
    }
  }
}

// Guards against an odd status that the parser accepts and that is passed on
// as the server's answer.
TEST_CASE("An answer without a final status is repeated where that is safe") {
  ForEachOddStatus([](EntryFixture* fixture) {
    const CallerAnswer answer = fixture->Call(MakeRequest("GET", "/again/x"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "data: sound\n\n");
    CHECK(fixture->received.size() == 2);
  });
}

TEST_CASE("A request that may have run ends unknown after an odd status") {
  ForEachOddStatus([](EntryFixture* fixture) {
    const CallerAnswer answer =
        fixture->Call(MakeRequest("POST", "/once/x", "Content-Length: 0\r\n"));
    CHECK(answer.status == 502);
    CHECK(fixture->received.size() == 1);
  });
}

TEST_CASE("A stream that begins with an odd status is started elsewhere") {
  ForEachOddStatus([](EntryFixture* fixture) {
    const CallerAnswer answer = fixture->Call(
        MakeRequest("POST", "/stream/x", "Content-Length: 0\r\n"));
    CHECK(answer.status == 200);
    CHECK(answer.state == ResponseState::kComplete);
    CHECK(answer.body == "data: sound\n\n");
    CHECK(fixture->received.size() == 2);
  });
}

TEST_CASE("A stream that may run once ends unknown after an odd status") {
  ForEachOddStatus([](EntryFixture* fixture) {
    const CallerAnswer answer = fixture->Call(
        MakeRequest("POST", "/stream-once/x", "Content-Length: 0\r\n"));
    CHECK(answer.status == 502);
    CHECK(fixture->received.size() == 1);
  });
}

// Guards against a check of the final status that rejects interim ones.
TEST_CASE("Interim statuses still precede the answer") {
  EntryFixture fixture;
  fixture.AddPlain("a", AnswerWith([](const std::string& head) {
                     return "HTTP/1.1 100 Continue\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\n\r\n" +
                            MakeAnswer(head, "200 OK", "done");
                   }));
  const CallerAnswer answer = fixture.Call(MakeRequest("GET", "/again/x"));
  CHECK(answer.status == 200);
  CHECK(answer.body == "done");
}

}  // namespace
}  // namespace kumquatcart
