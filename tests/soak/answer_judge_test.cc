// What a caller of the soak makes of streams in every framing.
#include <functional>

#include <catch2/catch.hpp>

#include "fakes/raw_server.h"
#include "model/socket_address.h"
#include "net/http_head.h"
#include "soak/expected_answer.h"
#include "soak/soak_caller.h"

namespace kumquatcart::soak {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nConnection: close\r\n";
// Enough for each kind of request, with either version.
constexpr int kRounds = 30;

std::string ValueOf(const std::string& request, const std::string& name) {
  const std::size_t begin = request.find(name + ": ") + name.size() + 2;
  return request.substr(begin, request.find('\r', begin) - begin);
}

std::string Events(const std::string& id,
                   int count,
                   const std::string& line_end) {
  std::string text;
  for (int event = 1; event <= count; ++event) {
    text += "id: " + std::to_string(event) + line_end;
    text += "data: " + ExpectedEvent(id, event) + line_end;
    text += line_end;
  }
  return text;
}

// Body and framing fields of the answer to the stream `id`.
using StreamAnswer = std::function<std::string(const std::string& id)>;

// Lets a caller send requests, whose streams are answered by `stream` and whose
// other answers are right. Returns what the ledger accuses, but for runs that
// no server of the soak has noted.
std::vector<std::string> Accusations(const StreamAnswer& stream,
                                     bool varies_version) {
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    if (request.empty()) {
      return;
    }
    const std::string id = ValueOf(request, "X-Request-Id");
    const std::string body = ExpectedBody(id);
    const bool is_stream = request.rfind("POST /stream/", 0) == 0;
    connection->Write(kHead + ("X-Request-Id: " + id + "\r\n") +
                      (is_stream
                           ? stream(id)
                           : "Content-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body));
  });
  EventLoop loop;
  RunLedger ledger;
  int rounds = 0;
  CallerRules rules;
  rules.pick = [&] { return ToTcpEndpoint(server.Address()); };
  rules.goes_on = [&] { return rounds++ < kRounds; };
  rules.varies_version = varies_version;
  SoakCaller caller(&loop, &ledger, "c", 1, rules);
  loop.Spawn([&](Coroutine yield) {
    caller.Run(yield);
    loop.Stop();
  });
  loop.Run();
  loop.UnwindCoroutines();
  std::vector<std::string> accusations;
  for (const std::string& what : ledger.Judge()) {
    if (what.find("was served and never ran") == std::string::npos) {
      accusations.push_back(what);
    }
  }
  return accusations;
}

std::string Chunked(const std::string& body) {
  return "Transfer-Encoding: chunked\r\n\r\n" + SerializeChunk(body) +
         SerializeChunk({});
}

TEST_CASE("Whole streams break nothing, whatever their lines end with") {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    CAPTURE(line_end);
    CHECK(Accusations(
              [&](const std::string& id) {
                return Chunked(Events(id, kStreamEvents, line_end));
              },
              false)
              .empty());
    CHECK(Accusations(
              [&](const std::string& id) {
                return "\r\n" + Events(id, kStreamEvents, line_end);
              },
              true)
              .empty());
  }
}

TEST_CASE("A short stream that is framed as complete is accused") {
  CHECK_FALSE(Accusations(
                  [](const std::string& id) {
                    return Chunked(Events(id, 3, "\n") + "id: 4\nda");
                  },
                  false)
                  .empty());
  CHECK_FALSE(Accusations(
                  [](const std::string& id) {
                    return "\r\n" + Events(id, 3, "\n") + "id: 4\nda";
                  },
                  false)
                  .empty());
  CHECK_FALSE(Accusations([](const std::string&) { return Chunked(""); }, false)
                  .empty());
}

TEST_CASE("A short stream that ends incomplete breaks nothing") {
  CHECK(Accusations(
            [](const std::string& id) {
              return "Transfer-Encoding: chunked\r\n\r\n" +
                     SerializeChunk(Events(id, 3, "\n"));
            },
            false)
            .empty());
}

TEST_CASE("Chunks to a caller of HTTP/1.0 are accused") {
  CHECK_FALSE(Accusations(
                  [](const std::string& id) {
                    return Chunked(Events(id, kStreamEvents, "\n"));
                  },
                  true)
                  .empty());
}

}  // namespace
}  // namespace kumquatcart::soak
