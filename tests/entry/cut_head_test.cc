// Servers that stop within the head of an answer and close the connection.
#include <string>

#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"

namespace kumquatcart {
namespace {

constexpr const char* kFramingLines[] = {"Content-Length: 29\r\n",
                                         "Transfer-Encoding: chunked\r\n", ""};
constexpr char kInterimHead[] = "HTTP/1.1 100 Continue\r\nX-Note: a\r\n\r\n";
constexpr const char* kPaths[] = {"/once/x", "/again/x", "/stream/x",
                                  "/stream-once/x"};

std::string SuccessHead(const std::string& protocol,
                        const std::string& framing) {
  return protocol +
         " 200 OK\r\nX-Request-Id: id1\r\nX-Response-Seal: sealed\r\n"
         "Content-Type: text/event-stream\r\n" +
         framing + "\r\n";
}

// Sends `bytes` as the answer to each request and ends the connection.
LoopServer::Script SendAndClose(const std::string* bytes,
                                const bool* resets,
                                int* requests) {
  return [=](const auto& connection, Waiter* waiter, Coroutine yield) {
    ReadHead(connection.get(), waiter, yield);
    ++*requests;
    connection->Send(*bytes);
    while (connection->UnsentBytes() > 0 && !connection->HasEnded()) {
      waiter->WaitUntil(MonotonicTime::max(), yield);
    }
    connection->SetResetOnClose(*resets);
    connection->Close();
  };
}

// Plays an answer that ends after each byte of its head, for each kind of
// request.
void CheckEveryCut(const std::string& head) {
  std::string bytes;
  bool resets = false;
  int requests = 0;
  EntryFixture fixture;
  const auto script = SendAndClose(&bytes, &resets, &requests);
  for (const char* id : {"a", "b"}) {
    fixture.AddGroup(id, script);
    fixture.AddPlain(std::string("plain-") + id, script);
  }
  for (const bool reset : {false, true}) {
    resets = reset;
    for (std::size_t size = 0; size < head.size(); ++size) {
      bytes = head.substr(0, size);
      for (const std::string path : kPaths) {
        CAPTURE(path, bytes, reset);
        requests = 0;
        const CallerAnswer answer =
            fixture.Call(MakeRequest("POST", path, "Content-Length: 0\r\n"));
        CHECK(answer.status != 200);
        CHECK(answer.body.empty());
        CHECK(answer.extra.empty());
        // Nothing is known of the execution, so it is no refusal.
        CHECK(answer.status != 503);
        if (path.find("once") != std::string::npos) {
          CHECK(requests == 1);
        }
      }
    }
  }
  // The whole head is an answer, to which the end of the connection belongs.
  resets = false;
  bytes = head + "id: 1\ndata: a\n\n";
  if (head.find("chunked") == std::string::npos &&
      head.find("Content-Length") == std::string::npos) {
    CHECK(fixture.Call(MakeRequest("POST", "/once/x", "Content-Length: 0\r\n"))
              .status == 200);
  }
}

// Guards against a 200 with an empty or short body, framed as whole, that is
// made of a part of a head.
TEST_CASE("A head that ends at any byte is no answer") {
  for (const char* framing : kFramingLines) {
    CheckEveryCut(SuccessHead("HTTP/1.1", framing));
  }
  CheckEveryCut(SuccessHead("HTTP/1.0", ""));
}

// Guards against the end of a final head that is hidden by an interim one.
TEST_CASE("A head that ends at any byte after an interim one is no answer") {
  CheckEveryCut(kInterimHead + SuccessHead("HTTP/1.1", ""));
}

}  // namespace
}  // namespace kumquatcart
