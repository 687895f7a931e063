#include <future>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

TEST_CASE("Tokens reach the caller as they come", "[gateway]") {
  std::promise<void> first_was_read;
  RawServer engine([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead() + EngineToken(request, 0, "un"));
    first_was_read.get_future().wait();
    connection->Write(EngineToken(request, 1, "deux") + EngineDone(request, 2));
    connection->ReadToEnd();
  });
  GatewayFixture fixture;
  fixture.AddGroup("g1", engine.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  CHECK(caller->ReadUntil("\"text\":\"un\"").find("200 OK") !=
        std::string::npos);
  first_was_read.set_value();
  const std::string rest = caller->ReadUntil("[DONE]");
  CHECK(rest.find("deux") != std::string::npos);
  fixture.gateway->Stop();
}

TEST_CASE("A completion that is not streamed comes whole", "[gateway]") {
  RawServer engine([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead() + EngineToken(request, 0, "un ") +
                      EngineToken(request, 1, "deux") + EngineDone(request, 2));
    connection->ReadToEnd();
  });
  GatewayFixture fixture;
  fixture.AddGroup("g1", engine.Address());
  const std::string answer = fixture.Call(MakeCompletion(false));
  CHECK(HeaderValue(answer, kOutcomeHeader) == "completed");
  CHECK(answer.find("\"un deux\"") != std::string::npos);
  fixture.gateway->Stop();
}

TEST_CASE("A plain service answers through the gateway", "[gateway]") {
  std::string seen;
  RawServer service([&](RawConnection* connection, int) {
    seen = connection->ReadMessage();
    connection->Write(ServiceAnswer(seen, "booked"));
    connection->ReadToEnd();
  });
  GatewayFixture fixture;
  fixture.AddServiceVm("v1", service.Address());
  const std::string answer =
      fixture.Call(MakeRequest("POST", "/services/registre/bench?n=4", "{}",
                               "X-Request-Id: r-1\r\nX-Colour: blue\r\n"));
  CHECK(HeaderValue(answer, kOutcomeHeader) == "completed");
  CHECK(HeaderValue(answer, kRequestIdHeader) == "r-1");
  CHECK(answer.find("booked") != std::string::npos);
  CHECK(seen.find("POST /services/registre/bench?n=4 ") == 0);
  CHECK(HeaderValue(seen, "X-Colour") == "blue");
  CHECK(HeaderValue(seen, "Authorization").empty());
  fixture.gateway->Stop();
}

}  // namespace
}  // namespace kumquatcart
