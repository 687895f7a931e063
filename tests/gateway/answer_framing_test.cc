// Answers of backend servers in every framing, broken off at every place, and
// callers of HTTP/1.0, on the product's own interface.
#include <algorithm>
#include <atomic>
#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"
#include "net/http_head.h"

namespace kumquatcart {
namespace {

enum class Framing { kLength, kChunked, kConnection };
enum class End {
  kFramed,   // As the framing says: length reached, last chunk, or close.
  kOrderly,  // The connection closes; length or last chunk are missing.
  kReset,    // The connection is reset; length or last chunk are missing.
};

constexpr Framing kFramings[] = {Framing::kLength, Framing::kChunked,
                                 Framing::kConnection};
constexpr End kEnds[] = {End::kFramed, End::kOrderly, End::kReset};

// Whether the framing tells that the answer is whole.
bool IsWhole(Framing framing, End end) {
  return end == End::kFramed ||
         (end == End::kOrderly && framing == Framing::kConnection);
}

// `head`: of an answer, up to its framing.
std::string Frame(const std::string& head,
                  Framing framing,
                  End end,
                  const std::string& body) {
  // More than the body while the framing does not end.
  constexpr std::size_t kMissingBytes = 1000;
  const bool is_framed = end == End::kFramed;
  switch (framing) {
    case Framing::kLength:
      return head + "Content-Length: " +
             std::to_string(body.size() + (is_framed ? 0 : kMissingBytes)) +
             "\r\n\r\n" + body;
    case Framing::kChunked:
      return head + "Transfer-Encoding: chunked\r\n\r\n" +
             SerializeChunk(body) + (is_framed ? SerializeChunk({}) : "");
    default:
      return head + "\r\n" + body;
  }
}

std::string ServiceHead(const std::string& request) {
  const std::string answer = ServiceAnswer(request, "");
  return answer.substr(0, answer.find("Content-Length"));
}

std::string LinesOf(const std::string& request, int from, int to) {
  std::string lines;
  for (int index = from; index < to; ++index) {
    const std::string chunk =
        EngineToken(request, index, std::to_string(index));
    const std::size_t begin = chunk.find('{');
    lines += chunk.substr(begin, chunk.rfind('}') - begin + 1) + "\n";
  }
  return lines;
}

std::string DoneLine(const std::string& request, int total) {
  const std::string done = EngineDone(request, total);
  const std::size_t begin = done.find('{');
  return done.substr(begin, done.rfind('}') - begin + 1) + "\n";
}

// Guards against a whole answer without a length that is thrown away, and
// against a broken one that is told to be completed.
TEST_CASE("A service's answer is complete or unknown in every framing",
          "[gateway]") {
  for (const Framing framing : kFramings) {
    for (const End end : kEnds) {
      CAPTURE(static_cast<int>(framing), static_cast<int>(end));
      GatewayFixture fixture;
      RawServer server([&](RawConnection* connection, int) {
        const std::string request = connection->ReadMessage();
        if (request.empty()) {
          return;
        }
        connection->Write(
            Frame(ServiceHead(request), framing, end, "the-booking"));
        connection->Close(end == End::kReset);
      });
      fixture.AddServiceVm("v1", server.Address());
      const std::string answer =
          fixture.Call(MakeRequest("POST", "/services/registre/x", "{}"));
      const bool is_whole = IsWhole(framing, end);
      CHECK(HeaderValue(answer, "Kumquatcart-Outcome") ==
            (is_whole ? "completed" : "unknown"));
      CHECK((answer.find("the-booking") != std::string::npos) == is_whole);
      CHECK(server.Connections() == 1);
      fixture.gateway->Stop();
    }
  }
}

// Guards against a status that ends no exchange and that is passed on to the
// caller as the service's answer.
TEST_CASE("A service's answer without a final status leaves it unknown",
          "[gateway]") {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(status);
    GatewayFixture fixture;
    RawServer server([&](RawConnection* connection, int) {
      const std::string request = connection->ReadMessage();
      if (request.empty()) {
        return;
      }
      std::string answer = ServiceAnswer(request, "the-booking");
      answer.replace(answer.find("200"), status.size(), status);
      connection->Write(answer);
      connection->ReadToEnd();
    });
    fixture.AddServiceVm("v1", server.Address());
    const std::string answer =
        fixture.Call(MakeRequest("POST", "/services/registre/x", "{}"));
    CHECK(HeaderValue(answer, "Kumquatcart-Outcome") == "unknown");
    CHECK(answer.find("the-booking") == std::string::npos);
    CHECK(server.Connections() == 1);
    fixture.gateway->Stop();
  }
}

// The last line tells that an engine's answer is whole, so the framing does not
// matter: a line is never cut by a close that counts as an end.
TEST_CASE("An engine's answer is whole with its last line in every framing",
          "[gateway]") {
  constexpr int kTokens = 6;
  for (const Framing framing : kFramings) {
    for (const End end : kEnds) {
      for (const bool cut_in_line : {false, true}) {
        CAPTURE(static_cast<int>(framing), static_cast<int>(end), cut_in_line);
        GatewayFixture fixture;
        RawServer server([&](RawConnection* connection, int number) {
          const std::string request = connection->ReadMessage();
          const std::string head = "HTTP/1.1 200 OK\r\n";
          if (number > 1) {
            connection->Write(Frame(
                head, Framing::kLength, End::kFramed,
                LinesOf(request, ParseGenerate(request).resume_from, kTokens) +
                    DoneLine(request, kTokens)));
            return;
          }
          connection->Write(Frame(
              head, framing, end,
              LinesOf(request, 0, 2) + (cut_in_line ? "{\"index\":" : "")));
          connection->Close(end == End::kReset);
        });
        fixture.AddGroup("g1", server.Address());
        const auto caller = fixture.Send(MakeCompletion(true));
        const std::string stream = caller->ReadUntil("[DONE]");
        for (int index = 0; index < kTokens; ++index) {
          const std::string token =
              "\"text\":\"" + std::to_string(index) + "\"";
          CHECK(stream.find(token) != std::string::npos);
          CHECK(stream.find(token) == stream.rfind(token));
        }
        CHECK(server.Connections() == 2);
        fixture.gateway.reset();
        server.Stop();
      }
    }
  }
}

std::string ToHttp10(std::string request) {
  constexpr char kVersion[] = "HTTP/1.1";
  return request.replace(request.find(kVersion), sizeof(kVersion) - 1,
                         "HTTP/1.0");
}

// Guards against chunks in the body of a caller that does not know them.
TEST_CASE("An HTTP/1.0 caller of the own interface gets no chunks",
          "[gateway]") {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(Frame("HTTP/1.1 200 OK\r\n", Framing::kChunked,
                            End::kFramed,
                            LinesOf(request, 0, 2) + DoneLine(request, 2)));
  });
  fixture.AddGroup("g1", server.Address());
  for (const bool streams : {false, true}) {
    CAPTURE(streams);
    const auto caller = fixture.Send(ToHttp10(MakeCompletion(streams)));
    const std::string answer = caller->ReadToEnd();
    CHECK(answer.find(" 200 ") != std::string::npos);
    CHECK(answer.find("chunked") == std::string::npos);
    CHECK((answer.find("[DONE]") != std::string::npos) == streams);
  }
  fixture.gateway->Stop();
}

// All but the last `missing` bytes.
std::string CutEnd(const std::string& text, std::size_t missing) {
  return text.substr(0, text.size() - std::min(text.size(), missing));
}

// Plays an answer of a plain service, and one of an engine's first attempt,
// whose heads lack their last `missing` bytes.
void CheckCutHead(Framing framing, End end, std::size_t missing) {
  CAPTURE(static_cast<int>(framing), static_cast<int>(end), missing);
  GatewayFixture fixture;
  RawServer service([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    if (!request.empty()) {
      connection->Write(
          CutEnd(Frame(ServiceHead(request), framing, end, ""), missing));
      connection->Close(end == End::kReset);
    }
  });
  fixture.AddServiceVm("v1", service.Address());
  const std::string answer =
      fixture.Call(MakeRequest("POST", "/services/registre/x", "{}"));
  CHECK(HeaderValue(answer, "Kumquatcart-Outcome") == "unknown");
  CHECK(answer.find(" 200 ") == std::string::npos);
  CHECK(service.Connections() == 1);

  RawServer engine([&](RawConnection* connection, int number) {
    const std::string request = connection->ReadMessage();
    const std::string head = "HTTP/1.1 200 OK\r\n";
    if (number == 1) {
      connection->Write(CutEnd(Frame(head, framing, end, ""), missing));
      connection->Close(end == End::kReset);
      return;
    }
    connection->Write(Frame(head, Framing::kLength, End::kFramed,
                            LinesOf(request, 0, 2) + DoneLine(request, 2)));
  });
  fixture.AddGroup("g1", engine.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  CHECK(caller->ReadUntil("[DONE]").find("\"text\":\"1\"") !=
        std::string::npos);
  CHECK(engine.Connections() == 2);
  fixture.gateway.reset();
  engine.Stop();
  service.Stop();
}

// Guards against a 200 with an empty or short body, framed as whole, that is
// made of a part of a head.
TEST_CASE("A head cut at any byte is no answer on the own interface",
          "[gateway]") {
  // Chunks and the body of the framings stand behind the head.
  const auto body_bytes = [](Framing framing, End end) {
    const std::string text = Frame("A: a\r\n", framing, end, "");
    return text.size() - text.find("\r\n\r\n") - 4;
  };
  constexpr std::size_t kLongestHead = 200;
  for (const Framing framing : kFramings) {
    for (const End end : {End::kOrderly, End::kReset}) {
      for (std::size_t missing = 1; missing <= kLongestHead; ++missing) {
        CheckCutHead(framing, end, body_bytes(framing, end) + missing);
      }
    }
  }
}

}  // namespace
}  // namespace kumquatcart
