#include "platform/process_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/json.h"
#include "model/endpoint_parser.h"

namespace kumquatcart {

namespace {

// Defaults for bounds that a settings file may leave out; each is the strictest
// value that deployments have used.
constexpr double kDefaultDrainMs = 2000;
constexpr double kDefaultPropagationMs = 2000;
constexpr double kDefaultGraceSeconds = 8;
constexpr double kDefaultStallMs = 6000;
constexpr double kDefaultRetryRatio = 0.1;
constexpr double kDefaultRetryBase = 20;
constexpr double kDefaultRetryWindowSeconds = 10;
constexpr double kDefaultColdFactor = 1;
constexpr double kDefaultColdExtra = 0;
constexpr std::uint64_t kDefaultCallBytes = 1024 * 1024;
// Of the smallest VMs in use.
constexpr double kDefaultCores = 0.12;
constexpr double kDefaultLinkMbps = 20;
constexpr double kBytesPerMegabit = 1e6 / 8;

Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

Result<Endpoint> EndpointAt(const Json& table, const char* name) {
  const auto found = table.find(name);
  if (found == table.end() || !found->is_string()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("settings: no address ") + name);
  }
  return ParseEndpoint(found->get<std::string>());
}

double NumberAt(const Json& table, const char* name, double fallback) {
  const auto found = table.find(name);
  return found != table.end() && found->is_number() ? found->get<double>()
                                                    : fallback;
}

const Json& TableAt(const Json& json, const char* name) {
  static const Json empty = Json::object();
  const auto found = json.find(name);
  return found != json.end() && found->is_object() ? *found : empty;
}

void DecodeBounds(const Json& json, ProcessSettings* settings) {
  const Json& bounds = TableAt(json, "bounds");
  settings->drain_bound =
      FromMillis(NumberAt(bounds, "drain_ms", kDefaultDrainMs));
  settings->propagation_bound = FromMillis(
      NumberAt(bounds, "config_propagation_ms", kDefaultPropagationMs));
  settings->stop_grace =
      FromMillis(NumberAt(bounds, "grace_s", kDefaultGraceSeconds) * 1000);
  settings->stall_time =
      FromMillis(NumberAt(bounds, "stall_ms", kDefaultStallMs));
  settings->retry_ratio =
      NumberAt(bounds, "retry_budget_ratio", kDefaultRetryRatio);
  settings->retry_base =
      NumberAt(bounds, "retry_budget_base", kDefaultRetryBase);
  settings->retry_window = FromMillis(
      NumberAt(bounds, "budget_window_s", kDefaultRetryWindowSeconds) * 1000);
  settings->cold_factor = NumberAt(bounds, "cold_over", kDefaultColdFactor);
  settings->cold_extra = NumberAt(bounds, "cold_slack", kDefaultColdExtra);
}

void DecodeLimits(const Json& json, ProcessSettings* settings) {
  const Json& limits = TableAt(json, "limits");
  settings->descriptors = static_cast<std::uint32_t>(
      NumberAt(limits, "max_fds", kDefaultDescriptors));
  settings->memory_bytes = static_cast<std::uint64_t>(NumberAt(
                               limits, "memory_mb", kDefaultMemoryMb)) *
                           kBytesPerMegabyte;
  settings->cores = NumberAt(limits, "cpu_share", kDefaultCores) *
                    NumberAt(limits, "cores", 1);
  settings->link_bytes_per_second =
      NumberAt(limits, "link_mbps", kDefaultLinkMbps) * kBytesPerMegabit;
}

Status DecodeAddresses(const Json& json, ProcessSettings* settings) {
  const Json& listen = TableAt(json, "listen");
  BOOST_OUTCOME_TRY(callers, EndpointAt(listen, "front"));
  BOOST_OUTCOME_TRY(readiness, EndpointAt(listen, "ready"));
  BOOST_OUTCOME_TRY(store, EndpointAt(TableAt(json, "platform"), "address"));
  settings->callers = callers;
  settings->readiness = readiness;
  settings->store = store;
  const auto ports = json.find("inner_ports");
  if (ports == json.end() || !ports->is_array() || ports->size() != 2) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "settings: inner_ports is not a pair of ports");
  }
  const auto first = ports->at(0).get<std::uint16_t>();
  const auto last = ports->at(1).get<std::uint16_t>();
  if (last <= first) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "settings: inner_ports holds fewer than two ports");
  }
  settings->peers = Endpoint{settings->callers.host, first};
  settings->metrics = Endpoint{settings->callers.host, last};
  return Ok();
}

Result<ProcessSettings> Decode(const Json& json) {
  ProcessSettings settings;
  settings.node_name = json.at("node_name").get<std::string>();
  settings.failure_domain = json.at("zone").get<std::string>();
  for (const auto& zone : TableAt(json, "zones").items()) {
    settings.failure_domains.push_back(zone.key());
    if (zone.value().is_string()) {
      settings.regions[zone.key()] = zone.value().get<std::string>();
    }
  }
  std::sort(settings.failure_domains.begin(), settings.failure_domains.end());
  BOOST_OUTCOME_TRY(DecodeAddresses(json, &settings));
  DecodeBounds(json, &settings);
  settings.call_bytes = static_cast<std::uint64_t>(
      NumberAt(TableAt(json, "platform"), "call_bytes", kDefaultCallBytes));
  DecodeLimits(json, &settings);
  return settings;
}

}  // namespace

Result<ProcessSettings> DecodeProcessSettings(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    return Decode(json);
  } catch (const Json::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("settings: ") + error.what());
  }
}

Result<ProcessSettings> ReadProcessSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return MakeError(ErrorCode::kNotFound, "cannot read " + path);
  }
  return DecodeProcessSettings(text.str());
}

}  // namespace kumquatcart
