#include "platform/server_decoder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include "base/json.h"
#include "model/endpoint_parser.h"
#include "model/socket_address.h"

namespace kumquatcart {

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
// Ten times what any service has; sums of loads stay far from their limits.
constexpr std::int64_t kMaxSlots = 1'000'000;
// The last millisecond of the year 9999. A start later than that is none, and
// entries of a later start replace it.
constexpr std::int64_t kMaxUnixMillis = 253'402'300'799'999;
// Longer than any state of a server holds; sums with times stay representable.
constexpr Duration kMaxDuration = std::chrono::hours(24);
constexpr std::int64_t kMaxInt = std::numeric_limits<int>::max();
// Part of a malformed value that goes into an error.
constexpr std::size_t kMaxQuotedBytes = 40;

Error Malformed(const std::string& what) {
  return MakeError(ErrorCode::kInvalidArgument, "server: " + what);
}

Result<std::string> TextAt(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string() ||
      found->get_ref<const std::string&>().empty()) {
    return Malformed(std::string("no text in ") + name);
  }
  return found->get<std::string>();
}

// The largest double that converts to the same integer and back.
constexpr double kMaxExactInteger = 9007199254740992.0;

// `json` as an integer from `min` to `max`, none if it is not one. Other
// writers leave numbers whose conversion would be undefined or wrap round.
std::optional<std::int64_t> IntegerIn(const Json& json,
                                      std::int64_t min,
                                      std::int64_t max) {
  std::int64_t number = 0;
  if (json.is_number_float()) {
    const auto value = json.get<double>();
    if (std::trunc(value) != value || std::fabs(value) > kMaxExactInteger) {
      return std::nullopt;
    }
    number = static_cast<std::int64_t>(value);
  } else if (json.is_number_unsigned()) {
    const auto value = json.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(kMaxInteger)) {
      return std::nullopt;
    }
    number = static_cast<std::int64_t>(value);
  } else if (json.is_number_integer()) {
    number = json.get<std::int64_t>();
  } else {
    return std::nullopt;
  }
  return number < min || number > max ? std::nullopt : std::optional(number);
}

Result<std::int64_t> CountAt(const Json& json,
                             const char* name,
                             std::int64_t max = kMaxInteger) {
  const auto found = json.find(name);
  const std::optional<std::int64_t> count =
      found == json.end() ? std::nullopt : IntegerIn(*found, 0, max);
  if (!count) {
    return Malformed(std::string("no count in ") + name);
  }
  return *count;
}

// As CountAt, and 0 where the field is missing.
Result<std::int64_t> OptionalCountAt(const Json& json,
                                     const char* name,
                                     std::int64_t max = kMaxInteger) {
  return json.contains(name) ? CountAt(json, name, max) : 0;
}

// A duration in milliseconds, which may have a fraction; longer ones as
// kMaxDuration.
Result<Duration> MillisAt(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number() || found->get<double>() < 0 ||
      found->get<double>() > kMaxUnixMillis) {
    return Malformed(std::string("no time in ") + name);
  }
  const std::chrono::duration<double, std::milli> time(found->get<double>());
  return time < kMaxDuration ? std::chrono::duration_cast<Duration>(time)
                             : kMaxDuration;
}

std::vector<std::string> DecodeStaged(const Json& json) {
  std::vector<std::string> models;
  const auto staged = json.find("staged");
  if (staged == json.end() || !staged->is_array()) {
    return models;
  }
  for (const Json& model : *staged) {
    if (model.is_string()) {
      models.push_back(model.get<std::string>());
    } else if (model.is_object() && model.contains("name")) {
      models.push_back(model.at("name").get<std::string>());
    }
  }
  return models;
}

std::string DecodeLoadedModel(const Json& json) {
  const auto models = json.find("models");
  return models == json.end() || !models->is_array() || models->empty()
             ? std::string()
             : models->at(0).at("name").get<std::string>();
}

std::optional<MembershipState> ParseState(const std::string& name) {
  for (const MembershipState state :
       {MembershipState::kJoining, MembershipState::kReady,
        MembershipState::kOpen, MembershipState::kClosing,
        MembershipState::kBroken}) {
    if (name == ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

Result<std::optional<GroupMembership>> DecodeMembership(const Json& json) {
  const auto group = json.find("group");
  if (group == json.end() || group->is_null()) {
    return std::optional<GroupMembership>();
  }
  if (!group->is_object()) {
    return Malformed("a group that is no table");
  }
  GroupMembership membership;
  membership.group = group->value("name", std::string());
  BOOST_OUTCOME_TRY(epoch, OptionalCountAt(*group, "epoch"));
  BOOST_OUTCOME_TRY(rank, OptionalCountAt(*group, "rank", kMaxInt));
  membership.epoch = epoch;
  membership.rank = static_cast<int>(rank);
  const auto state = ParseState(group->value("state", std::string()));
  // Without a rank the server would count as the head.
  if (membership.group.empty() || !state || !group->contains("rank")) {
    return std::optional<GroupMembership>();
  }
  membership.state = *state;
  return std::optional(std::move(membership));
}

// An id that can be sent in a header field and encoded in an order.
bool IsServerId(const std::string& id) {
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char byte) {
    return byte > ' ' && byte <= '~';
  });
}

Result<Endpoint> DecodeAddress(const std::string& address) {
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(address));
  // A connection to the unspecified address would reach this VM.
  if (endpoint.port == 0 ||
      ToTcpEndpoint(endpoint).address().is_unspecified()) {
    return Malformed("an address that nothing can listen on");
  }
  return endpoint;
}

Result<BackendServer> DecodeEntry(const std::string& id, const Json& json) {
  if (!json.is_object()) {
    return Malformed("an entry that is no table");
  }
  if (!IsServerId(id)) {
    return Malformed("an id that is no printable word");
  }
  BackendServer server;
  server.id = id;
  BOOST_OUTCOME_TRY(service, TextAt(json, "service"));
  BOOST_OUTCOME_TRY(address, TextAt(json, "address"));
  BOOST_OUTCOME_TRY(endpoint, DecodeAddress(address));
  BOOST_OUTCOME_TRY(failure_domain, TextAt(json, "zone"));
  server.service = service;
  server.endpoint = endpoint;
  server.failure_domain = failure_domain;
  BOOST_OUTCOME_TRY(state, TextAt(json, "state"));
  if (state != "ready" && state != "draining") {
    return Malformed("unknown state " + state.substr(0, kMaxQuotedBytes));
  }
  server.draining = state == "draining";
  BOOST_OUTCOME_TRY(slots, CountAt(json, "slots", kMaxSlots));
  if (slots < 1) {
    return Malformed("no slots");
  }
  server.slots = static_cast<int>(slots);
  BOOST_OUTCOME_TRY(TextAt(json, "version"));
  BOOST_OUTCOME_TRY(orders_accepted, CountAt(json, "seq"));
  server.orders_accepted = orders_accepted;
  BOOST_OUTCOME_TRY(cold_left, MillisAt(json, "cold_left_ms"));
  server.cold_left = cold_left;
  BOOST_OUTCOME_TRY(started_ms, OptionalCountAt(json, "born", kMaxUnixMillis));
  server.started_ms = started_ms;
  server.fabric_domain = json.value("domain", std::string());
  server.loaded_model = DecodeLoadedModel(json);
  server.staged_models = DecodeStaged(json);
  BOOST_OUTCOME_TRY(membership, DecodeMembership(json));
  server.membership = std::move(membership);
  return server;
}

Result<EngineReport> DecodeReport(const Json& json) {
  if (!json.is_object()) {
    return Malformed("a report that is no table");
  }
  EngineReport report;
  report.loaded_model = DecodeLoadedModel(json);
  BOOST_OUTCOME_TRY(started_ms, OptionalCountAt(json, "born", kMaxUnixMillis));
  BOOST_OUTCOME_TRY(orders_accepted, OptionalCountAt(json, "seq"));
  BOOST_OUTCOME_TRY(waiting, OptionalCountAt(json, "waiting", kMaxInt));
  BOOST_OUTCOME_TRY(running, OptionalCountAt(json, "running", kMaxInt));
  report.started_ms = started_ms;
  report.orders_accepted = orders_accepted;
  report.waiting = static_cast<int>(waiting);
  report.running = static_cast<int>(running);
  report.pace = json.value("pace", 1.0);
  report.staged_models = DecodeStaged(json);
  BOOST_OUTCOME_TRY(membership, DecodeMembership(json));
  report.membership = std::move(membership);
  return report;
}

}  // namespace

Result<BackendServer> DecodeServerEntry(const std::string& id,
                                        const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    return DecodeEntry(id, json);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

Result<EngineReport> DecodeEngineReport(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  try {
    return DecodeReport(json);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace kumquatcart
