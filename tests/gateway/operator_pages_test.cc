#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace kumquatcart {
namespace {

std::string Get(GatewayFixture* fixture, const std::string& path) {
  return fixture->Call("GET " + path +
                       " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
}

bool IsOk(const std::string& answer) {
  return answer.find("HTTP/1.1 200") == 0;
}

TEST_CASE(
    "Operators' pages stay away from callers on an address of their own") {
  GatewaySettings settings;
  settings.operator_port = PickFreePort();
  GatewayFixture fixture(settings);
  REQUIRE(IsOk(Get(&fixture, "/healthz")));
  REQUIRE_FALSE(IsOk(Get(&fixture, "/status")));
  REQUIRE_FALSE(IsOk(Get(&fixture, "/metrics")));
  fixture.port = static_cast<std::uint16_t>(settings.operator_port);
  REQUIRE(IsOk(Get(&fixture, "/healthz")));
  REQUIRE(IsOk(Get(&fixture, "/status")));
  REQUIRE(IsOk(Get(&fixture, "/metrics")));
  REQUIRE_FALSE(IsOk(Get(&fixture, "/services/registre/x")));
}

TEST_CASE(
    "Without an address of their own operators' pages are beside callers") {
  GatewayFixture fixture;
  REQUIRE(IsOk(Get(&fixture, "/status")));
}

}  // namespace
}  // namespace kumquatcart
