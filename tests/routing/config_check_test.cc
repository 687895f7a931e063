// Guards against configurations that are accepted and do not do what their
// author means.
#include "routing/config_check.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

RouteRule MakeRoute(const std::string& name, const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = "h";
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(5);
  route.target_latency = std::chrono::milliseconds(300);
  route.services = {{"s", 1}};
  return route;
}

RoutingConfig SoundConfig() {
  RoutingConfig config;
  config.version = 2;
  config.routes = {MakeRoute("a", "/a/"), MakeRoute("b", "/a/b/")};
  config.services["s"].name = "s";
  config.needs_keys = true;
  config.holders["key"] = {"org", 1, {}};
  return config;
}

// Whether the configuration has just one finding, of `kind` at `path`.
bool HasOnly(const RoutingConfig& config,
             FindingKind kind,
             const std::string& path) {
  const std::vector<ConfigFinding> findings = CheckRoutingConfig(config);
  for (const ConfigFinding& finding : findings) {
    UNSCOPED_INFO(ToString(finding.kind)
                  << ' ' << finding.path << ": " << finding.text);
  }
  return findings.size() == 1 && findings[0].kind == kind &&
         findings[0].path == path;
}

TEST_CASE("A sound configuration has no findings") {
  CHECK(CheckRoutingConfig(SoundConfig()).empty());
  CHECK(DescribeDifferences(SoundConfig(), SoundConfig()).size() == 1);
}

TEST_CASE("Routes that can never match are found") {
  RoutingConfig config = SoundConfig();
  config.routes.push_back(MakeRoute("c", "/a/b/"));
  config.routes.back().host = "H:80";  // The same host in another form.
  CHECK(HasOnly(config, FindingKind::kUnused, "routes/c"));
  config = SoundConfig();
  config.routes[0].path_prefix = "/a/?x/";
  CHECK(HasOnly(config, FindingKind::kUnused, "routes/a"));
  config = SoundConfig();
  config.holders.clear();
  config.routes.pop_back();
  CHECK(HasOnly(config, FindingKind::kUnused, "routes/a"));
  config = SoundConfig();
  config.services["t"].name = "t";
  CHECK(HasOnly(config, FindingKind::kUnused, "services/t"));
}

TEST_CASE("Errors of routes and services are found") {
  RoutingConfig config = SoundConfig();
  config.routes[0].services = {{"absent", 1}};
  CHECK(HasOnly(config, FindingKind::kError, "routes/a"));
  config = SoundConfig();
  config.routes[1].path_prefix = "/a/b";
  CHECK(HasOnly(config, FindingKind::kError, "routes/b"));
  config = SoundConfig();
  config.routes[1].name = "a";
  CHECK(HasOnly(config, FindingKind::kError, "routes/a"));
  config = SoundConfig();
  config.routes[0].timeout = Duration{0};
  CHECK(HasOnly(config, FindingKind::kError, "routes/a"));
  config = SoundConfig();
  config.limits.header_bytes = 0;
  CHECK(HasOnly(config, FindingKind::kError, "limits"));
}

TEST_CASE("Limits that contradict each other are found") {
  RoutingConfig config = SoundConfig();
  config.routes[0].target_latency = std::chrono::seconds(6);
  CHECK(HasOnly(config, FindingKind::kContradicts, "routes/a"));
  config = SoundConfig();
  config.routes[0].attempts = 2;
  CHECK(HasOnly(config, FindingKind::kContradicts, "routes/a"));
  config.routes[0].repeatability = Repeatability::kIdempotent;
  CHECK(CheckRoutingConfig(config).empty());
  config = SoundConfig();
  config.services["s"].engine.emplace();
  config.services["s"].engine->models.resize(2);
  config.services["s"].engine->models[0].work_share = 0.7;
  config.services["s"].engine->models[1].work_share = 0.4;
  CHECK(HasOnly(config, FindingKind::kContradicts, "services/s"));
}

TEST_CASE("Differences name entries, and no keys") {
  const RoutingConfig before = SoundConfig();
  RoutingConfig after = before;
  after.version = 3;
  after.routes.erase(after.routes.begin());
  after.routes.push_back(MakeRoute("c", "/c/"));
  after.routes[0].attempts = 2;
  after.holders["secret"] = {"org", 1, {}};
  after.limits.body_bytes = 1;
  CHECK(DescribeDifferences(before, after) ==
        std::vector<std::string>{"removed routes/a", "changed routes/b",
                                 "added routes/c", "changed organisations/org",
                                 "changed limits"});
}

}  // namespace
}  // namespace kumquatcart
