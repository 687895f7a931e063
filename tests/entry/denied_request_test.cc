// Requests that the configuration does not allow.
#include <catch2/catch.hpp>

#include "entry/entry_fixture.h"
#include "fakes/captured_log.h"

namespace kumquatcart {
namespace {

// Guards against denied requests whose log does not tell a configuration that
// lacks the route or key from a request that is not recognised.
TEST_CASE("The log says why a request was denied, and by how old a version") {
  EntryFixture fixture;
  fixture.context.config_read_at = [&fixture] {
    return fixture.loop.Now() - std::chrono::seconds(7);
  };
  const CapturedLog log;
  fixture.SendRequest(MakeRequest("GET", "/none/x"));
  CHECK(log.HasLine("request_denied",
                    "status=404 reason=\"no route of the host has the path\""));
  CHECK(log.HasLine("request_denied", "config_read_ms_ago=70"));
  const std::string request = MakeRequest("GET", "/again/x");
  fixture.SendRequest("GET /again/x HTTP/1.1\r\nHost: other\r\n" +
                      request.substr(request.find("X-Request-Id")));
  CHECK(log.HasLine("request_denied",
                    "status=404 reason=\"no route has the host\" host=other"));
}

}  // namespace
}  // namespace kumquatcart
