// Stops of a gateway beside requests in progress.
#include <atomic>
#include <chrono>
#include <exception>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

// Guards against a port that closes while answers are being sent: callers lose
// the end of their streams, and the HTTP library crashes.
TEST_CASE("A stop tells every caller the truth before its port closes",
          "[gateway]") {
  constexpr int kRounds = 10;
  constexpr int kCallers = 8;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    GatewayFixture fixture;
    RawServer engine([](RawConnection* connection, int) {
      const std::string request = connection->ReadMessage();
      connection->Write(EngineHead());
      StreamWithoutEnd(connection, request, 0, "x");
    });
    fixture.AddGroup("g1", engine.Address());
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (int index = 0; index < kCallers; ++index) {
      callers.push_back(fixture.Send(MakeCompletion(true)));
      callers.back()->ReadUntil("\"text\"");
    }
    auto stopped =
        std::async(std::launch::async, [&] { fixture.gateway->Stop(); });
    for (const auto& caller : callers) {
      const std::string rest = caller->ReadToEnd();
      CHECK(rest.find("this entry VM stops") != std::string::npos);
      CHECK(rest.find("[DONE]") == std::string::npos);
    }
    stopped.wait();
  }
}

// Guards against a close of the port while the HTTP library accepts callers or
// reads their requests: it then frees what its threads still use, and leaves
// connections open that it accepts afterwards.
TEST_CASE("A stop beside callers that connect ends every connection",
          "[gateway]") {
  constexpr int kRounds = 5;
  constexpr int kCallers = 4;
  const std::string health = "GET /healthz HTTP/1.1\r\nHost: gateway\r\n\r\n";
  for (int round = 0; round < kRounds; ++round) {
    GatewayFixture fixture;
    std::atomic<int> ended{0};
    const auto connect = [&] {
      try {
        while (true) {
          // Every second one sends a part only.
          const std::size_t sent = health.size() - (ended % 2);
          const auto caller = RawConnection::Connect(fixture.port);
          caller->Write(health.substr(0, sent));
          if (sent == health.size()) {
            caller->ReadMessage();
          } else {
            caller->Interrupt();
          }
          ++ended;
        }
      } catch (const std::exception&) {
        // The port is closed.
      }
    };
    std::vector<std::future<void>> callers;
    for (int index = 0; index < kCallers; ++index) {
      callers.push_back(std::async(std::launch::async, connect));
    }
    while (ended < kCallers) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    fixture.gateway->Stop();
    for (const auto& caller : callers) {
      caller.wait();
    }
    CHECK_THROWS(RawConnection::Connect(fixture.port));
  }
}

// A request whose caller never sends its whole body is in progress, but must
// not hold up the end of the process.
TEST_CASE("A stop cuts what is not answered in time", "[gateway]") {
  GatewayFixture fixture;
  std::string request = MakeCompletion(true);
  request.pop_back();
  const auto caller = fixture.Send(request);
  auto stopped =
      std::async(std::launch::async, [&] { fixture.gateway->Stop(); });
  AdvanceUntilReady(&fixture.clock, stopped);
  CHECK(caller->ReadToEnd().find(" 200 ") == std::string::npos);
}

}  // namespace
}  // namespace kumquatcart
