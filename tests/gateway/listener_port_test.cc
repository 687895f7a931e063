// Ports that are brought to rest before the HTTP library closes them.
#include "gateway/listener_port.h"

#include <future>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

constexpr char kHost[] = "127.0.0.1";

// Guards against a close of the listener while the library accepts or ends
// connections, which frees what its threads still use.
TEST_CASE("A port at rest holds no connections and takes none", "[gateway]") {
  GatewayFixture fixture;
  const Result<ListenerPort> other = ListenerPort::Find(kHost, 1);
  REQUIRE(other.has_error());
  CHECK(other.error().code == ErrorCode::kNotFound);
  Result<ListenerPort> port = ListenerPort::Find(kHost, fixture.port);
  REQUIRE(port.has_value());

  const std::string health = "GET /healthz HTTP/1.1\r\nHost: gateway\r\n\r\n";
  std::vector<std::unique_ptr<RawConnection>> callers;
  callers.push_back(fixture.Send(health));
  CHECK(callers.back()->ReadMessage().find(" 200 ") != std::string::npos);
  for (const std::size_t sent :
       {std::size_t{0}, std::size_t{1}, health.size()}) {
    callers.push_back(fixture.Send(health.substr(0, sent)));
  }
  std::string lacks_body = MakeCompletion(true);
  lacks_body.pop_back();
  callers.push_back(fixture.Send(lacks_body));

  REQUIRE(port.value().RefuseConnections());
  // All that had connected are accepted now. The connection that shows it may
  // still be open.
  CHECK(port.value().CountConnections() >= callers.size());
  REQUIRE(port.value().EndConnections());
  CHECK(port.value().CountConnections() == 0);
  for (const auto& caller : callers) {
    // A connection that is kept open makes this wait without end.
    caller->ReadToEnd();
  }

  port.value().Release();
  CHECK(fixture.Call(health).find(" 200 ") != std::string::npos);
  fixture.gateway->Stop();
  CHECK(ListenerPort::Find(kHost, fixture.port).has_error());
}

// Guards against callers that lose an answer because their connection is cut
// while the answer is on its way.
TEST_CASE("A port at rest lets an answer in progress end", "[gateway]") {
  GatewayFixture fixture;
  std::promise<void> arrived;
  std::promise<void> resumed;
  RawServer server([&](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    arrived.set_value();
    resumed.get_future().wait();
    connection->Write(ServiceAnswer(request, "booked"));
    connection->ReadToEnd();
  });
  fixture.AddServiceVm("vm1", server.Address());
  const auto caller =
      fixture.Send(MakeRequest("POST", "/services/registre/marks", "{}"));
  arrived.get_future().wait();
  Result<ListenerPort> port = ListenerPort::Find(kHost, fixture.port);
  REQUIRE(port.has_value());
  CHECK(port.value().RefuseConnections());
  auto ended = std::async(std::launch::async,
                          [&] { return port.value().EndConnections(); });
  resumed.set_value();
  CHECK(caller->ReadMessage().find("booked") != std::string::npos);
  CHECK(ended.get());
}

// Guards against a stop that waits without end for a caller that does not read.
TEST_CASE("A port at rest cuts an answer without end", "[gateway]") {
  GatewayFixture fixture;
  RawServer engine([](RawConnection* connection, int) {
    const std::string request = connection->ReadMessage();
    connection->Write(EngineHead());
    StreamWithoutEnd(connection, request, 0, "x");
  });
  fixture.AddGroup("g1", engine.Address());
  const auto caller = fixture.Send(MakeCompletion(true));
  caller->ReadUntil("\"text\"");
  Result<ListenerPort> port = ListenerPort::Find(kHost, fixture.port);
  REQUIRE(port.has_value());
  CHECK(port.value().RefuseConnections());
  CHECK(port.value().EndConnections());
  CHECK(caller->ReadToEnd().find("[DONE]") == std::string::npos);
}

}  // namespace
}  // namespace kumquatcart
