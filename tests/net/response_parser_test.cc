#include "net/response_parser.h"

#include <cstdint>
#include <cstdio>
#include <string>

#include <catch2/catch.hpp>

#include "fakes/loop_server.h"

namespace kumquatcart {
namespace {

struct ParsedResponse {
  ResponseState state = ResponseState::kIncomplete;
  int status = 0;
  std::string body;
};

// Parses a response of `bytes`, after which the server closes the connection,
// with a reset if `reset` is set.
ParsedResponse ParseFromClosingServer(const std::string& bytes, bool reset) {
  EventLoop loop;
  LoopServer server(
      &loop, [&](const auto& connection, Waiter* waiter, Coroutine yield) {
        ReadHead(connection.get(), waiter, yield);
        connection->Send(bytes);
        while (connection->UnsentBytes() > 0) {
          waiter->WaitUntil(MonotonicTime::max(), yield);
        }
        if (reset) {
          connection->SetResetOnClose(true);
          connection->Close();
        } else {
          connection->FinishSending();
        }
      });
  ParsedResponse parsed;
  RunCoroutine(&loop, [&](Coroutine yield) {
    Waiter waiter(&loop);
    const auto connection = std::make_shared<TcpConnection>(&loop);
    REQUIRE(connection->Connect(server.Address(), TestDeadline(&loop), &waiter,
                                yield));
    connection->Send("GET / HTTP/1.1\r\n\r\n");
    ResponseParser response(false);
    parsed.state = response.ParseAvailable(connection.get());
    while (parsed.state == ResponseState::kIncomplete &&
           waiter.WaitUntil(TestDeadline(&loop), yield)) {
      parsed.state = response.ParseAvailable(connection.get());
    }
    if (response.HasHead()) {
      parsed.status = response.Status();
      parsed.body = response.TakeBody();
    }
    connection->SetWaiter(nullptr);
    connection->Close();
  });
  return parsed;
}

TEST_CASE("A response is broken if the connection ends before any byte") {
  // The parser reports a complete, empty message with status 200 here.
  CHECK(ParseFromClosingServer("", false).state == ResponseState::kParseFailed);
}

TEST_CASE("A response with a length is complete at its length") {
  const ParsedResponse parsed = ParseFromClosingServer(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false);
  CHECK(parsed.state == ResponseState::kComplete);
  CHECK(parsed.body == "ab");
}

// Guards against a status that no rule about statuses covers, in any reader of
// answers: of servers, engines, peers and the store.
TEST_CASE("A response is broken unless its status is final") {
  for (int status = 0; status < 1000; ++status) {
    char digits[4];
    std::snprintf(digits, sizeof(digits), "%03d", status);
    CAPTURE(status);
    const bool is_final = status >= 200 && status <= 599;
    const ParsedResponse parsed = ParseFromClosingServer(
        "HTTP/1.1 " + std::string(digits) + " x\r\nContent-Length: 0\r\n\r\n",
        false);
    CHECK(parsed.state ==
          (is_final ? ResponseState::kComplete : ResponseState::kParseFailed));
    CHECK(parsed.status == (is_final ? status : 0));
  }
}

TEST_CASE("A response cut before its length is broken") {
  CHECK(ParseFromClosingServer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
                               false)
            .state == ResponseState::kParseFailed);
}

TEST_CASE("A chunked response without its last chunk is broken") {
  CHECK(ParseFromClosingServer(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nab\r\n",
            false)
            .state == ResponseState::kParseFailed);
}

TEST_CASE(
    "A response without a length is complete when the connection closes") {
  const ParsedResponse parsed =
      ParseFromClosingServer("HTTP/1.1 200 OK\r\n\r\nab", false);
  CHECK(parsed.state == ResponseState::kComplete);
  CHECK(parsed.body == "ab");
}

// Guards against a process that ends for want of memory, or reserves it, at one
// response that announces more than it sends.
TEST_CASE("A response that announces more than it sends is broken") {
  for (int exponent = 4; exponent < 64; ++exponent) {
    for (const int offset : {-1, 0, 1}) {
      const std::uint64_t length = (std::uint64_t{1} << exponent) + offset;
      CAPTURE(length);
      CHECK(ParseFromClosingServer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
                    "\r\n\r\nbooked",
                false)
                .state == ResponseState::kParseFailed);
    }
  }
}

// A response in one chunk, whose framing has an extension and a trailer field
// of `extension` and `trailer` bytes.
std::string ChunkedResponse(std::size_t extension, std::size_t trailer) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6;x=" +
         std::string(extension, 'e') +
         "\r\nbooked\r\n0\r\nX-Odd: " + std::string(trailer, 'y') + "\r\n\r\n";
}

// Guards against a process that ends at one response: the parser throws for a
// trailer field beyond its own limit.
TEST_CASE("A response with long chunk framing is broken") {
  constexpr std::size_t kPart = kMaxChunkFramingBytes / 2;
  const ParsedResponse parsed =
      ParseFromClosingServer(ChunkedResponse(kPart, kPart), false);
  CHECK(parsed.state == ResponseState::kComplete);
  CHECK(parsed.body == "booked");
  for (const std::size_t size :
       {kMaxChunkFramingBytes, 2 * kMaxChunkFramingBytes, std::size_t{65'533},
        std::size_t{65'536}, std::size_t{70'000}, std::size_t{200'000}}) {
    CAPTURE(size);
    CHECK(ParseFromClosingServer(ChunkedResponse(size, 1), false).state ==
          ResponseState::kParseFailed);
    CHECK(ParseFromClosingServer(ChunkedResponse(1, size), false).state ==
          ResponseState::kParseFailed);
  }
}

TEST_CASE("An interim response is skipped before the final one") {
  const ParsedResponse parsed = ParseFromClosingServer(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
      false);
  CHECK(parsed.state == ResponseState::kComplete);
  CHECK(parsed.status == 404);
}

TEST_CASE("Bytes that are no response are broken") {
  CHECK(ParseFromClosingServer("nonsense\r\n\r\n", false).state ==
        ResponseState::kParseFailed);
}

// Guards against a success that is made of a part of a head: the end of the
// connection would end an answer without a length.
TEST_CASE("A response whose head ends at any byte is broken") {
  for (const std::string framing :
       {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
      std::string head = version;
      head += " 200 OK\r\n";
      head += framing;
      head += "\r\n";
      for (std::size_t size = 0; size < head.size(); ++size) {
        for (const bool reset : {false, true}) {
          CAPTURE(framing, version, size, reset);
          CHECK(ParseFromClosingServer(head.substr(0, size), reset).state ==
                ResponseState::kParseFailed);
        }
      }
    }
  }
  CHECK(ParseFromClosingServer("HTTP/1.1 200 OK\r\n\r\n", false).state ==
        ResponseState::kComplete);
}

}  // namespace
}  // namespace kumquatcart
