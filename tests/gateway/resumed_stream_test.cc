// Streams whose first engine breaks off and whose next ones answer in any way
// that is not the rest, on the product's own interface.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"
#include "net/http_head.h"

namespace kumquatcart {
namespace {

constexpr char kErrorText[] = "the second engine failed";

// Where the first engine breaks off.
enum class Break { kWithinHead, kBeforeTokens, kAfterToken, kWithinLine };

constexpr Break kBreaks[] = {Break::kWithinHead, Break::kBeforeTokens,
                             Break::kAfterToken, Break::kWithinLine};

struct WrongAnswer {
  std::string name;
  std::string bytes;
};

std::string ErrorAnswer(const std::string& status) {
  const std::string body = std::string(kErrorText) + "\n";
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Answers to `request`, which asks for the rest of a stream.
std::vector<WrongAnswer> WrongAnswers(const std::string& request) {
  const std::string other = "\r\nX-Attempt-Id: other\r\n";
  const std::string server_error = ErrorAnswer("500 Internal Server Error");
  return {{"500", server_error},
          {"503", ErrorAnswer("503 Service Unavailable")},
          {"429", ErrorAnswer("429 Too Many Requests")},
          {"409", ErrorAnswer("409 Conflict")},
          {"404", ErrorAnswer("404 Not Found")},
          {"200 with text", ErrorAnswer("200 OK")},
          {"interim and 500", "HTTP/1.1 100 Continue\r\n\r\n" + server_error},
          {"204", "HTTP/1.1 204 No Content\r\n\r\n"},
          {"no head", std::string(kErrorText) + "\r\n\r\n"},
          {"empty", EngineHead() + SerializeChunk({})},
          {"head as a line", EngineHead() + SerializeChunk(server_error)},
          {"gap", EngineHead() + EngineToken(request, 7, "7") +
                      EngineDone(request, 8)},
          {"end before the last token", EngineHead() + EngineDone(request, 1)},
          {"another attempt's tokens",
           EngineHead() + EngineToken(other, 2, "7") + EngineDone(other, 3)}};
}

std::string BrokenAnswer(const std::string& request, Break place) {
  std::string bytes = EngineHead();
  if (place == Break::kWithinHead) {
    return bytes.substr(0, bytes.size() / 2);
  }
  if (place == Break::kBeforeTokens) {
    return bytes;
  }
  bytes += EngineToken(request, 0, "0");
  bytes += EngineToken(request, 1, "1");
  if (place == Break::kWithinLine) {
    bytes += SerializeChunk("{\"index\":");
  }
  return bytes;
}

int CountOf(const std::string& part, const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// Plays the wrong answer with the index `answer` for every attempt but the
// first, which breaks off at `place`. Returns what the caller gets.
std::string PlayWrongAnswer(std::size_t answer, Break place) {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int number) {
    const std::string request = connection->ReadMessage();
    if (!request.empty()) {
      connection->Write(number == 1 ? BrokenAnswer(request, place)
                                    : WrongAnswers(request)[answer].bytes);
    }
  });
  fixture.AddGroup("g1", server.Address());
  const auto caller =
      fixture.Send(MakeCompletion(true, "Connection: close\r\n"));
  std::string received = caller->ReadToEnd();
  CHECK(server.Connections() > 1);
  fixture.gateway->Stop();
  return received;
}

// Guards against the text or the head of an error in the middle of a stream,
// against tokens after a gap, and against a stream that ends as complete
// because a later attempt's answer does.
TEST_CASE("No answer but the rest of a stream continues it", "[gateway]") {
  const std::vector<WrongAnswer> answers = WrongAnswers("");
  for (std::size_t answer = 0; answer < answers.size(); ++answer) {
    for (const Break place : kBreaks) {
      CAPTURE(answers[answer].name, static_cast<int>(place));
      const std::string received = PlayWrongAnswer(answer, place);
      const bool has_begun =
          place == Break::kAfterToken || place == Break::kWithinLine;
      const std::string end = has_begun ? "HTTP/1.1 200" : "HTTP/1.1 5";
      CHECK(received.rfind(end, 0) == 0);
      CHECK(CountOf("HTTP/1.", received) == 1);
      CHECK(received.find(kErrorText) == std::string::npos);
      CHECK(received.find("[DONE]") == std::string::npos);
      CHECK(CountOf("\"text\":\"", received) == (has_begun ? 2 : 0));
      CHECK(CountOf("event: error", received) == (has_begun ? 1 : 0));
    }
  }
}

}  // namespace
}  // namespace kumquatcart
