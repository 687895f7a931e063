#include "platform/server_decoder.h"

#include "base/json.h"
#include "model/endpoint_parser.h"

namespace kumquatcart {

namespace {

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

Result<std::int64_t> CountAt(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number() || found->get<double>() < 0) {
    return Malformed(std::string("no count in ") + name);
  }
  return found->get<std::int64_t>();
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

std::optional<GroupMembership> DecodeMembership(const Json& json) {
  const auto group = json.find("group");
  if (group == json.end() || !group->is_object()) {
    return std::nullopt;
  }
  GroupMembership membership;
  membership.group = group->value("name", std::string());
  membership.epoch = group->value("epoch", std::int64_t{0});
  membership.rank = group->value("rank", 0);
  const auto state = ParseState(group->value("state", std::string()));
  if (membership.group.empty() || !state) {
    return std::nullopt;
  }
  membership.state = *state;
  return membership;
}

Result<BackendServer> DecodeEntry(const std::string& id, const Json& json) {
  if (!json.is_object()) {
    return Malformed("an entry that is no table");
  }
  BackendServer server;
  server.id = id;
  BOOST_OUTCOME_TRY(service, TextAt(json, "service"));
  BOOST_OUTCOME_TRY(address, TextAt(json, "address"));
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(address));
  BOOST_OUTCOME_TRY(failure_domain, TextAt(json, "zone"));
  server.service = service;
  server.endpoint = endpoint;
  server.failure_domain = failure_domain;
  BOOST_OUTCOME_TRY(state, TextAt(json, "state"));
  if (state != "ready" && state != "draining") {
    return Malformed("unknown state " + state);
  }
  server.draining = state == "draining";
  BOOST_OUTCOME_TRY(slots, CountAt(json, "slots"));
  if (slots < 1) {
    return Malformed("no slots");
  }
  server.slots = static_cast<int>(slots);
  BOOST_OUTCOME_TRY(TextAt(json, "version"));
  BOOST_OUTCOME_TRY(CountAt(json, "seq"));
  BOOST_OUTCOME_TRY(CountAt(json, "cold_left_ms"));
  server.started_ms = json.value("born", std::int64_t{0});
  server.fabric_domain = json.value("domain", std::string());
  server.loaded_model = DecodeLoadedModel(json);
  server.staged_models = DecodeStaged(json);
  server.membership = DecodeMembership(json);
  return server;
}

EngineReport DecodeReport(const Json& json) {
  EngineReport report;
  report.loaded_model = DecodeLoadedModel(json);
  report.started_ms = json.value("born", std::int64_t{0});
  report.orders_accepted = json.value("seq", std::int64_t{0});
  report.waiting = json.value("waiting", 0);
  report.running = json.value("running", 0);
  report.pace = json.value("pace", 1.0);
  report.staged_models = DecodeStaged(json);
  report.membership = DecodeMembership(json);
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
