// The adapter's decoders and encoders, on the platform's wire forms.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/odd_server_entries.h"
#include "platform/caller_codec.h"
#include "platform/config_decoder.h"
#include "platform/process_settings.h"
#include "platform/server_decoder.h"
#include "platform/store_client.h"

namespace kumquatcart {
namespace {

constexpr char kSettings[] = R"({
  "node_name": "n1", "zone": "a", "zones": {"a": "r", "b": "r"},
  "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
  "inner_ports": [70, 75], "limits": {"max_fds": 4100, "cpu_share": 0.25, "cores": 2,
                                     "link_mbps": 200},
  "bounds": {"drain_ms": 2000, "grace_s": 8, "stall_ms": 6000,
             "retry_budget_ratio": 0.2, "retry_budget_base": 134,
             "budget_window_s": 10, "cold_over": 1.5, "cold_slack": 5},
  "platform": {"address": "10.9.0.1:90", "call_bytes": 100},
  "new_field": {"x": 1}})";

TEST_CASE("Settings are decoded and unknown fields ignored") {
  const Result<ProcessSettings> settings = DecodeProcessSettings(kSettings);
  REQUIRE(settings.has_value());
  CHECK(settings.value().node_name == "n1");
  CHECK(settings.value().failure_domains == std::vector<std::string>{"a", "b"});
  CHECK(settings.value().peers.port == 70);
  CHECK(settings.value().metrics.port == 75);
  CHECK(settings.value().store.ToString() == "10.9.0.1:90");
  CHECK(settings.value().stop_grace == std::chrono::seconds(8));
  CHECK(settings.value().retry_base == 134);
  CHECK(settings.value().cold_factor == 1.5);
  CHECK(settings.value().cold_extra == 5);
  CHECK(settings.value().descriptors == 4100);
  CHECK(settings.value().cores == 0.5);
  CHECK(settings.value().link_bytes_per_second == 25e6);
}

TEST_CASE("Settings that lack an address are refused by name") {
  const Result<ProcessSettings> settings =
      DecodeProcessSettings(R"({"node_name": "n", "zone": "a"})");
  REQUIRE(settings.has_error());
  CHECK(settings.error().message.find("front") != std::string::npos);
  CHECK(DecodeProcessSettings("{").has_error());
  CHECK(DecodeProcessSettings("[]").has_error());
}

constexpr char kConfig[] = R"({"version": 7,
  "routes": [
    {"name": "r1", "host": "h", "path_prefix": "/a/", "kind": "streaming",
     "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1,
     "traffic_split": [{"service": "s", "weight": 90},
                       {"service": "t", "weight": 10}],
     "attempts": 2, "public": false, "sticky": true, "resumable": true,
     "gap_aim_ms": 250, "allowed_regions": ["east"]},
    {"name": "r2", "host": "h", "path_prefix": "/b/", "kind": "streaming",
     "timeout_ms": 6000, "service": "s"},
    {"name": "r3", "host": "h", "path_prefix": "/c/",
     "kind": "non_idempotent", "service": "t", "public": true},
    {"name": "r4", "host": "h", "path_prefix": "/d/", "kind": "idempotent",
     "service": "t"}],
  "services": [
    {"name": "s", "max_connections": 404, "cold_start_s": 3.0,
     "cold_per_s": 23.0,
     "engine": {"slots": 26, "loads_per_s": 5.5, "form_ms": 300.0,
                "delays": [{"from": "a", "target_version": "b",
                            "delay_ms": 0.5},
                           {"from": "a", "target_version": "c",
                            "delay_ms": 1.5}],
                "models": [{"name": "m", "size": 6, "share": 0.67,
                            "pace": 1.0, "load_s": 16.0, "warm_s": 1.6}]}},
    {"name": "t", "max_connections": 110, "cold_start_s": null,
     "cold_per_s": -1}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "org", "api_keys": ["k1", "k2"], "priority": 1,
               "allowed_regions": ["east", "west"]}]})";

TEST_CASE("The configuration's kinds say what may be repeated") {
  const Result<RoutingConfig> decoded = DecodeRoutingConfig(kConfig);
  REQUIRE(decoded.has_value());
  const RoutingConfig& config = decoded.value();
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 4);
  CHECK(config.routes[0].repeatability == Repeatability::kResumable);
  CHECK(config.routes[1].repeatability == Repeatability::kAtMostOnce);
  CHECK(config.routes[2].repeatability == Repeatability::kAtMostOnce);
  CHECK(config.routes[3].repeatability == Repeatability::kIdempotent);
  CHECK(config.routes[0].streaming);
  CHECK(config.routes[0].services.size() == 2);
  CHECK(config.routes[0].gap_target == std::chrono::milliseconds(250));
  CHECK(config.services.at("s").engine->models.front().group_size == 6);
  CHECK(config.services.at("s").engine->domain_delay ==
        std::chrono::microseconds(1500));
  CHECK(!config.services.at("t").engine);
  CHECK(config.services.at("s").cold_time == std::chrono::seconds(3));
  CHECK(config.services.at("s").cold_requests_per_second == 23);
  // Not stated in a form that can be used.
  CHECK(config.services.at("t").cold_time == Duration{0});
  CHECK(config.services.at("t").cold_requests_per_second == 0);
  CHECK(config.holders.at("k2").organisation == "org");
  CHECK(config.holders.at("k2").priority == 1);
  CHECK(config.routes[0].regions == std::vector<std::string>{"east"});
  CHECK(config.routes[1].regions.empty());
  CHECK(config.holders.at("k1").regions ==
        std::vector<std::string>{"east", "west"});
}

TEST_CASE("A configuration that cannot be read is an error") {
  CHECK(DecodeRoutingConfig("").has_error());
  CHECK(DecodeRoutingConfig("{}").has_error());
  CHECK(DecodeRoutingConfig(R"({"version": "7"})").has_error());
}

// Guards against a copy that overflows the stack.
TEST_CASE("Deep nesting in unknown fields of a configuration is ignored") {
  for (const std::string field : {"\"limits\": {", "\"tenants\": [], \"x\": {",
                                  "\"limits\": {}, \"y\": {"}) {
    const Result<RoutingConfig> config = DecodeRoutingConfig(
        R"({"version": 1, "routes": [], "services": [], )" + field +
        "\"deep\": " + NestedArrays(kOddNesting) + "}}");
    CHECK(config.has_value());
  }
}

constexpr char kEntry[] =
    R"({"service": "s", "address": "10.1.0.9:8080", "zone": "a",
        "version": "v1", "slots": 26, "state": "ready", "cold_left_ms": 0,
        "seq": 4, "born": 1700, "domain": "a-d0",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "staged": ["m"],
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"}})";

TEST_CASE("A server's entry tells its group") {
  const Result<BackendServer> server = DecodeServerEntry("i1", kEntry);
  REQUIRE(server.has_value());
  CHECK(server.value().fabric_domain == "a-d0");
  CHECK(server.value().loaded_model == "m");
  CHECK(server.value().membership ==
        GroupMembership{"g", 3, 0, MembershipState::kOpen});
}

TEST_CASE("Entries from other writers name no server") {
  const std::string entry = kEntry;
  const auto with = [&entry](const std::string& from, const std::string& to) {
    std::string changed = entry;
    changed.replace(changed.find(from), from.size(), to);
    return DecodeServerEntry("i1", changed);
  };
  CHECK(with("\"ready\"", "\"asleep\"").has_error());
  CHECK(with("\"slots\": 26", "\"slots\": \"26\"").has_error());
  CHECK(with("\"slots\": 26", "\"slots\": 0").has_error());
  CHECK(with("10.1.0.9:8080", "nowhere").has_error());
  CHECK(with("\"service\": \"s\",", "").has_error());
  CHECK(with("\"seq\": 4", "\"seq\": null").has_error());
  CHECK(DecodeServerEntry("i1", "[]").has_error());
  CHECK(DecodeServerEntry("i1", "\xff\xfe").has_error());
}

TEST_CASE("A report tells what a server holds") {
  const Result<EngineReport> report = DecodeEngineReport(
      R"({"stage": "both", "models": [{"name": "m"}], "busy": false,
          "seq": 2, "waiting": 1, "running": 12, "pace": 4.0})");
  REQUIRE(report.has_value());
  CHECK(report.value().running == 12);
  CHECK(report.value().pace == 4.0);
  CHECK(!report.value().membership);
  CHECK(DecodeEngineReport("null").has_error());
}

std::string WithOffsets(const std::string& records) {
  return std::string(16, '\0') + records;
}

TEST_CASE("Records survive the way through the store") {
  CHECK(rc::check([](const std::string& key, const std::string& value) {
    RC_PRE(key.size() < 256 && !value.empty());
    const Result<TopicBatch> batch = DecodeRecords(
        WithOffsets(EncodeRecord(key, value) + EncodeRecord("other", "x")), 40);
    RC_ASSERT(batch.has_value());
    RC_ASSERT(batch.value().end == 42);
    RC_ASSERT(batch.value().records[0] == (TopicRecord{key, value, 40}));
  }));
}

TEST_CASE("A record without a value drops its key") {
  const Result<TopicBatch> batch =
      DecodeRecords(WithOffsets(EncodeRecord("k", "")), 3);
  REQUIRE(batch.has_value());
  CHECK(!batch.value().records[0].value);
}

TEST_CASE("Any bytes of a read are decoded or refused") {
  CHECK(rc::check([](const std::string& bytes) {
    const Result<TopicBatch> batch = DecodeRecords(bytes, 0);
    if (batch.has_error()) {
      RC_ASSERT(!batch.error().message.empty());
    } else {
      RC_ASSERT(batch.value().end >=
                static_cast<std::int64_t>(batch.value().records.size()));
    }
  }));
  CHECK(
      DecodeRecords(WithOffsets(std::string("\0\0\0\x09q", 5)), 0).has_error());
}

HeaderList CallerFields() {
  return {{"Host", "h.example:80"},
          {"X-Request-Id", "id1"},
          {"X-Deadline-Ms", "8000"},
          {"Authorization", "Bearer k1"},
          {"X-Model", "m"},
          {"X-Token-Counts", "1460,80"},
          {"X-Prompt-Prefix", "5c:8"},
          {"Last-Event-Id", "12"},
          {"X-Other", "kept"}};
}

TEST_CASE("A caller's request is decoded once") {
  const Result<CallerRequest> decoded =
      DecodeCallerRequest("POST", "/a/b?c", CallerFields(), "body");
  REQUIRE(decoded.has_value());
  const CallerRequest& request = decoded.value();
  CHECK(request.id == "id1");
  CHECK(request.host == "h.example");
  CHECK(request.key == "k1");
  CHECK(request.prompt_tokens == 1460);
  CHECK(request.max_output_tokens == 80);
  CHECK(request.resume_after == 12);
  CHECK(request.patience == std::chrono::seconds(8));
}

TEST_CASE("The shared parts of a prompt are all but the last") {
  const auto decode = [](const std::string& prompt) {
    HeaderList fields{{"Host", "h"}, {"X-Request-Id", "id1"}};
    fields.push_back({"X-Prompt-Prefix", prompt});
    return DecodeCallerRequest("POST", "/", fields, "").value();
  };
  CHECK(decode("5c1e07A2:800,91bd3f06:410,e4402b7d:250").shared_parts ==
        PromptParts{"5c1e07a2", "91bd3f06"});
  CHECK(decode("b:1, a:0, c:2").shared_parts == PromptParts{"a", "b"});
  CHECK(decode("5c:8").shared_parts.empty());
  CHECK_FALSE(decode("5c:8").has_odd_prompt);
  CHECK_FALSE(decode("").has_odd_prompt);
  for (const char* odd :
       {",", "a:1,", "a,b:1", "a:,b:1", "a:x,b:1", "a:-1,b:1", "g:1,b:1",
        ":1,b:1", "a:1,a:1,b:1", "a:1,b:1,A:2", "a:99999999999999999999,b:1",
        "0123456789abcdef0123456789abcdef0:1,b:1"}) {
    CAPTURE(odd);
    CHECK(decode(odd).shared_parts.empty());
    CHECK(decode(odd).has_odd_prompt);
  }
}

TEST_CASE("A server gets the caller's fields but not its key") {
  HeaderList fields = CallerFields();
  fields.push_back({"X-Tenant", "forged"});
  fields.push_back({"x-expect-instance", "forged"});
  fields.push_back({"X-Request-Urgency", "0"});
  fields.push_back({"Connection", "close, X-Hop, X-Model"});
  fields.push_back({"X-Hop", "1"});
  fields.push_back({"Keep-Alive", "timeout=5"});
  const Result<CallerRequest> request =
      DecodeCallerRequest("POST", "/a/b?c", fields, "body");
  REQUIRE(request.has_value());
  const OutgoingRequest sent = EncodeForServer(
      request.value(),
      SendFacts{"i1", "org", std::chrono::milliseconds(500), 13});
  CHECK(sent.target == "/a/b?c");
  CHECK(sent.body == "body");
  CHECK(FindHeader(sent.headers, "Authorization").empty());
  CHECK(FindHeader(sent.headers, "X-Tenant") == "org");
  CHECK(FindHeader(sent.headers, "X-Expect-Instance") == "i1");
  CHECK(FindHeader(sent.headers, "X-Deadline-Ms") == "500");
  CHECK(FindHeader(sent.headers, "Last-Event-Id") == "13");
  CHECK(FindHeader(sent.headers, "X-Request-Urgency").empty());
  CHECK(FindHeader(sent.headers, "X-Hop").empty());
  CHECK(FindHeader(sent.headers, "Connection").empty());
  CHECK(FindHeader(sent.headers, "Keep-Alive").empty());
  // Naming it in Connection must not change the request.
  CHECK(FindHeader(sent.headers, "X-Model") == "m");
  CHECK(FindHeader(sent.headers, "X-Prompt-Prefix") == "5c:8");
  CHECK(FindHeader(sent.headers, "X-Other") == "kept");
}

TEST_CASE("Requests that no server could be given are refused") {
  CHECK(
      DecodeCallerRequest("GET", "http://h/a", CallerFields(), "").has_error());
  HeaderList two_hosts = CallerFields();
  two_hosts.push_back({"Host", "g"});
  CHECK(DecodeCallerRequest("GET", "/a", two_hosts, "").has_error());
  CHECK(DecodeCallerRequest("GET", "/a", {{"Host", "h"}}, "").has_error());
}

TEST_CASE("A refusal says when to come back") {
  const HeaderList fields =
      OwnAnswerFields("id1", std::chrono::milliseconds(250));
  CHECK(FindHeader(fields, "Retry-After") == "0.250");
  CHECK(FindHeader(OwnAnswerFields("id1", Duration{0}), "Retry-After").empty());
}

}  // namespace
}  // namespace kumquatcart
