#include "routing/route_table.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

RouteRule MakeRoute(const std::string& name,
                    const std::string& host,
                    const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

RouteTable MakeTable() {
  RoutingConfig config;
  config.routes = {MakeRoute("short", "h", "/a/"),
                   MakeRoute("long", "h", "/a/b/"),
                   MakeRoute("other", "g", "/a/")};
  config.holders["k"] = KeyHolder{"org", std::nullopt, {}};
  return RouteTable(std::make_shared<const RoutingConfig>(config));
}

TEST_CASE("A request matches the longest path prefix of its host") {
  const RouteTable table = MakeTable();
  CHECK(table.Match("h", "/a/b/c")->name == "long");
  CHECK(table.Match("h", "/a/bc")->name == "short");
  CHECK(table.Match("g", "/a/b/c")->name == "other");
  CHECK(table.Match("h", "/a") == nullptr);
  CHECK(table.Match("x", "/a/b/c") == nullptr);
}

// Guards against routes that no request matches, since the operator writes a
// host in capitals or with a port.
TEST_CASE("A route's host is compared without case and port") {
  RoutingConfig config;
  config.routes = {MakeRoute("capitals", "Host.Example", "/a/"),
                   MakeRoute("port", "host.example:8080", "/a/b/"),
                   MakeRoute("address", "[2001:DB8::1]:80", "/a/")};
  const RouteTable table(std::make_shared<const RoutingConfig>(config));
  CHECK(table.Match("host.example", "/a/x")->name == "capitals");
  CHECK(table.Match("host.example", "/a/b/x")->name == "port");
  CHECK(table.Match("[2001:db8::1]", "/a/x")->name == "address");
  CHECK_FALSE(table.HasHost("[2001"));
}

TEST_CASE("The query string is not part of the path") {
  const RouteTable table = MakeTable();
  CHECK(table.Match("h", "/x?/a/b/") == nullptr);
  CHECK(table.Match("h", "/a/?q=/a/b/")->name == "short");
}

TEST_CASE("An API key is resolved to its holder") {
  const RouteTable table = MakeTable();
  CHECK(table.FindKeyHolder("k")->organisation == "org");
  CHECK(table.FindKeyHolder("") == nullptr);
}

TEST_CASE("Services are picked in proportion to their weights") {
  RouteRule route;
  route.services = {{"a", 90}, {"b", 10}};
  CHECK(RouteTable::PickService(route, 0.0)->service == "a");
  CHECK(RouteTable::PickService(route, 0.89)->service == "a");
  CHECK(RouteTable::PickService(route, 0.91)->service == "b");
  CHECK(RouteTable::PickService(RouteRule{}, 0.5) == nullptr);
}

}  // namespace
}  // namespace kumquatcart
