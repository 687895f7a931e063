// Streams that break, fall silent, come out of order or are not read.
#include <algorithm>
#include <atomic>
#include <future>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "base/json.h"
#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kWrongChunks[] = "kumquatcart_gateway_wrong_chunks_total";

// The tokens in a stream's text, joined.
std::string JoinTokens(const std::string& stream) {
  const std::string name = "\"text\":\"";
  std::string joined;
  std::size_t at = stream.find(name);
  while (at != std::string::npos) {
    const std::size_t begin = at + name.size();
    joined += stream.substr(begin, stream.find('"', begin) - begin);
    at = stream.find(name, begin);
  }
  return joined;
}

// Serves tokens "0" to "9" from the index asked for. Returns the largest index
// asked for.
int ServeRest(RawConnection* connection) {
  int asked = 0;
  std::string request = connection->ReadMessage();
  while (!request.empty()) {
    asked = std::max(asked, ParseGenerate(request).resume_from);
    std::string answer = EngineHead();
    for (int index = ParseGenerate(request).resume_from; index < 10; ++index) {
      answer += EngineToken(request, index, std::to_string(index));
    }
    connection->Write(answer + EngineDone(request, 10));
    request = connection->ReadMessage();
  }
  return asked;
}

enum class Break { kClosed, kReset, kSilent, kEndedEarly, kMalformed };

TEST_CASE("A broken stream resumes at its next token", "[gateway]") {
  for (const Break how : {Break::kClosed, Break::kReset, Break::kSilent,
                          Break::kEndedEarly, Break::kMalformed}) {
    CAPTURE(static_cast<int>(how));
    GatewayFixture fixture;
    std::promise<void> relayed;
    int resumed_from = 0;
    std::shared_future<void> was_relayed = relayed.get_future().share();
    RawServer server([&](RawConnection* connection, int number) {
      if (number > 1) {
        resumed_from = ServeRest(connection);
        return;
      }
      const std::string request = connection->ReadMessage();
      connection->Write(EngineHead() + EngineToken(request, 0, "0") +
                        EngineToken(request, 1, "1"));
      was_relayed.wait();
      if (how == Break::kSilent) {
        // Not longer: the rest of an advance would run into the timeouts of the
        // next attempt, which starts on another thread meanwhile.
        fixture.clock.Advance(GatewaySettings{}.idle_timeout);
        connection->ReadToEnd();
      } else if (how == Break::kEndedEarly) {
        connection->Write("0\r\n\r\n");
      } else if (how == Break::kMalformed) {
        connection->Write(EngineChunk("{\"index\":"));
        connection->ReadToEnd();
      }
      connection->Close(how == Break::kReset);
    });
    fixture.AddGroup("g1", server.Address());
    const auto caller = fixture.Send(MakeCompletion(true));
    std::string stream = caller->ReadUntil("\"text\":\"1\"");
    relayed.set_value();
    stream += caller->ReadUntil("[DONE]");
    CHECK(JoinTokens(stream) == "0123456789");
    CHECK(server.Connections() == 2);
    fixture.gateway.reset();
    server.Stop();
    CHECK(resumed_from == 2);
  }
}

TEST_CASE("A stream that cannot be finished says so", "[gateway]") {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    const int next = ParseGenerate(request).resume_from;
    connection->Write(EngineHead() + EngineToken(request, next, "t"));
  });
  fixture.AddGroup("g1", server.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  const std::string stream = caller->ReadUntil("\r\n0\r\n\r\n");
  CHECK(stream.find("event: error") != std::string::npos);
  CHECK(stream.find("\"outcome\":\"unknown\"") != std::string::npos);
  CHECK(stream.find("[DONE]") == std::string::npos);
  fixture.gateway->Stop();
}

TEST_CASE("A group that refuses its epoch is provably not run", "[gateway]") {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int) {
    while (!connection->ReadMessage().empty()) {
      connection->Write(
          "HTTP/1.1 409 Conflict\r\nContent-Length: 7\r\n\r\nrefused");
    }
  });
  fixture.AddGroup("g1", server.Address());
  const std::string answer = fixture.Call(MakeCompletion(true));
  CHECK(HeaderValue(answer, kOutcomeHeader) == "not-run");
  CHECK(HeaderValue(answer, kRetryAfterHeader) == "1");
  fixture.gateway->Stop();
}

// Guards against "not-run" for a request that an engine runs: the engine writes
// an earlier refusal once more on a kept connection.
TEST_CASE("An earlier refusal of an engine refuses no later request",
          "[gateway]") {
  constexpr char kRefusal[] =
      "HTTP/1.1 409 Conflict\r\nContent-Length: 7\r\n\r\nrefused";
  GatewayFixture fixture;
  std::atomic<int> runs{0};
  RawServer server([&](RawConnection* connection, int) {
    // Refuses the first request of a connection, runs the others.
    for (int i = 0; !connection->ReadMessage().empty(); ++i) {
      runs += i > 0 ? 1 : 0;
      connection->Write(kRefusal);
    }
  });
  fixture.AddGroup("g1", server.Address());
  for (int i = 0; i < 4; ++i) {
    const int runs_before = runs;
    const std::string answer = fixture.Call(MakeCompletion(true));
    CHECK((runs == runs_before ||
           HeaderValue(answer, kOutcomeHeader) != "not-run"));
  }
  fixture.gateway->Stop();
}

TEST_CASE("No whole group means an immediate refusal", "[gateway]") {
  GatewayFixture fixture;
  const std::string answer = fixture.Call(MakeCompletion(false));
  CHECK(answer.find("503") != std::string::npos);
  CHECK(HeaderValue(answer, kOutcomeHeader) == "not-run");
  CHECK_FALSE(HeaderValue(answer, kRetryAfterHeader).empty());
  fixture.gateway->Stop();
}

TEST_CASE("Late, repeated, unordered and foreign chunks harm nothing",
          "[gateway]") {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    const std::string other = "\r\nX-Attempt-Id: other\r\n";
    connection->Write(EngineHead() + EngineToken(other, 0, "x") +
                      EngineToken(request, 1, "1") +
                      EngineToken(request, 0, "0") +
                      EngineToken(request, 0, "0") +
                      EngineToken(request, 2, "2") + EngineDone(request, 3));
    connection->ReadToEnd();
  });
  fixture.AddGroup("g1", server.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  CHECK(JoinTokens(caller->ReadUntil("[DONE]")) == "012");
  CHECK(fixture.CounterValue(kWrongChunks, {{"reason", "foreign"}}) == 1);
  CHECK(fixture.CounterValue(kWrongChunks, {{"reason", "duplicate"}}) == 1);
  CHECK(fixture.CounterValue(kWrongChunks, {{"reason", "out-of-order"}}) == 1);
  fixture.gateway->Stop();
}

TEST_CASE("A caller that leaves stops the engine", "[gateway]") {
  GatewayFixture fixture;
  std::promise<void> left;
  std::promise<void> engine_stopped;
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead() + EngineToken(request, 0, "0"));
    left.get_future().wait();
    StreamWithoutEnd(connection, request, 1, "t");
    engine_stopped.set_value();
  });
  fixture.AddGroup("g1", server.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\":\"0\"");
  caller->Close(true);
  left.set_value();
  engine_stopped.get_future().wait();
  fixture.gateway->Drain();
  CHECK(fixture.CounterValue("kumquatcart_gateway_callers_gone_total") == 1);
  CHECK(server.Connections() == 1);
  fixture.gateway->Stop();
}

TEST_CASE("A slow caller slows its own stream only", "[gateway]") {
  constexpr std::size_t kTokenBytes = 8000;
  constexpr int kTokens = 2000;
  GatewaySettings settings;
  settings.max_buffered_bytes = 16 * 1024;
  GatewayFixture fixture(settings);
  RawServer slow([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead());
    const std::string token(kTokenBytes, 'x');
    for (int index = 0; index < kTokens; ++index) {
      connection->Write(EngineToken(request, index, token));
    }
    connection->Write(EngineDone(request, kTokens));
    connection->ReadToEnd();
  });
  fixture.AddGroup("g1", slow.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\"");
  // Other streams go on while the first one is not read.
  RawServer fast(
      [&](RawConnection* connection, int) { ServeRest(connection); });
  fixture.board.groups.Publish(GroupTable());
  fixture.AddGroup("g2", fast.Address());
  for (int round = 0; round < 50; ++round) {
    const auto other = fixture.Send(MakeCompletion(true));
    CHECK(JoinTokens(other->ReadUntil("[DONE]")) == "0123456789");
  }
  const std::string rest = caller->ReadUntil("[DONE]");
  CHECK(std::count(rest.begin(), rest.end(), 'x') >= kTokens * 8000 - 8000);
  const double peak =
      fixture.metrics.GetGauge("kumquatcart_gateway_peak_buffered_bytes")
          .Value();
  CHECK(peak > 0);
  CHECK(peak < 16 * 1024 + 2 * kTokenBytes);
  fixture.gateway->Stop();
}

TEST_CASE("A caller that reads nothing is given up", "[gateway]") {
  GatewaySettings settings;
  settings.request_timeout = std::chrono::hours(100000);
  settings.idle_timeout = settings.request_timeout;
  GatewayFixture fixture(settings);
  RawServer engine([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead());
    StreamWithoutEnd(connection, request, 0, std::string(8000, 'x'));
  });
  fixture.AddGroup("g1", engine.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\"");
  while (fixture.CounterValue("kumquatcart_gateway_callers_gone_total") == 0) {
    fixture.clock.Advance(std::chrono::seconds(60));
  }
  fixture.gateway->Drain();
  caller->Close(true);
  fixture.gateway->Stop();
}

TEST_CASE("The deadline ends a request with the truth", "[gateway]") {
  GatewayFixture fixture;
  RawServer server([&](RawConnection* connection, int) {
    connection->ReadMessage();
    fixture.clock.Advance(std::chrono::milliseconds(200));
    connection->ReadToEnd();
  });
  fixture.AddGroup("g1", server.Address());
  const std::string answer =
      fixture.Call(MakeCompletion(false, "Request-Timeout-Ms: 200\r\n"));
  CHECK(answer.find("504") != std::string::npos);
  CHECK(HeaderValue(answer, kOutcomeHeader) == "unknown");
  CHECK(server.Connections() == 1);
  fixture.gateway->Stop();
}

// Answers with two tokens, the second one once `finish` is set.
void HoldStream(RawConnection* connection, std::promise<void>* finish) {
  const std::string request = connection->ReadMessage();
  connection->Write(EngineHead() + EngineToken(request, 0, "0"));
  finish->get_future().wait();
  connection->Write(EngineToken(request, 1, "1") + EngineDone(request, 2));
  connection->ReadToEnd();
}

TEST_CASE("A drain lets requests finish and refuses none", "[gateway]") {
  GatewaySettings settings;
  settings.drain_settle = Duration::zero();
  GatewayFixture fixture(settings);
  std::promise<void> finish;
  RawServer server(
      [&](RawConnection* connection, int) { HoldStream(connection, &finish); });
  fixture.AddGroup("g1", server.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\":\"0\"");
  std::atomic<bool> drained{false};
  auto drain = std::async(std::launch::async, [&] {
    fixture.gateway->Drain();
    drained = true;
  });
  while (fixture.gateway->IsReady()) {
    std::this_thread::yield();
  }
  CHECK(fixture.Call("GET /readyz HTTP/1.1\r\nHost: g\r\n\r\n").find("503") !=
        std::string::npos);
  CHECK_FALSE(drained);
  finish.set_value();
  CHECK(JoinTokens(caller->ReadUntil("[DONE]")) == "1");
  drain.wait();
  CHECK(fixture.admission.completed == 1);
  fixture.gateway->Stop();
}

TEST_CASE("A draining entry VM ends though callers keep coming", "[gateway]") {
  GatewaySettings settings;
  settings.drain_settle = Duration::zero();
  GatewayFixture fixture(settings);
  std::promise<void> finish;
  RawServer server(
      [&](RawConnection* connection, int) { HoldStream(connection, &finish); });
  fixture.AddGroup("g1", server.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\":\"0\"");
  auto drain =
      std::async(std::launch::async, [&] { fixture.gateway->Drain(); });
  while (fixture.gateway->AcceptsRequests()) {
    std::this_thread::yield();
  }
  const std::string refused = fixture.Call(MakeCompletion(false));
  CHECK(refused.find("HTTP/1.1 503") == 0);
  CHECK(HeaderValue(refused, "Kumquatcart-Outcome") == "not-run");
  CHECK_FALSE(HeaderValue(refused, "Retry-After").empty());
  finish.set_value();
  CHECK(JoinTokens(caller->ReadUntil("[DONE]")) == "1");
  drain.wait();
  fixture.gateway->Stop();
}

}  // namespace
}  // namespace kumquatcart
