// The judge against a naive one that evaluates the whole history again for
// every record, over random histories of racing change sets.
#include "model/config_judge.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "model/change_set.h"
#include "model/config_access.h"
#include "model/config_snapshot.h"

namespace kumquatcart {
namespace {

struct NaiveObject {
  std::string kind;
  std::string owner;
  Offset revision = kNoOffset;
  Json spec;

  friend bool operator==(const NaiveObject& left, const NaiveObject& right) {
    return left.kind == right.kind && left.owner == right.owner &&
           left.revision == right.revision && left.spec == right.spec;
  }
};
using NaiveState = std::map<std::string, NaiveObject>;

bool MayRefer(const NaiveState& state,
              const NaiveObject& from,
              const std::string& target,
              const std::set<std::string>& kinds) {
  const auto found = state.find(target);
  if (found == state.end() || kinds.count(found->second.kind) == 0) {
    return false;
  }
  const std::string& owner = found->second.owner;
  bool allowed = owner == from.owner;
  for (const auto& [name, object] : state) {
    allowed = allowed || (object.kind == "Grant" && object.owner == owner &&
                          object.spec["object"] == target &&
                          object.spec["to"] == from.owner);
  }
  return allowed;
}

bool ReferencesHold(const NaiveState& state, const NaiveObject& object) {
  const Json& spec = object.spec;
  if (object.kind == "ModelService") {
    return MayRefer(state, object, spec["replica_group_class"],
                    {"ReplicaGroupClass"});
  }
  if (object.kind == "PlacementIntent") {
    return MayRefer(state, object, spec["model_service"], {"ModelService"});
  }
  if (object.kind == "Quota") {
    return MayRefer(state, object, spec["organisation"], {"Organisation"}) &&
           MayRefer(state, object, spec["service"],
                    {"ModelService", "PlainService"});
  }
  if (object.kind == "Token") {
    return MayRefer(state, object, spec["organisation"], {"Organisation"});
  }
  if (object.kind == "Grant") {
    const auto target = state.find(spec["object"]);
    return target != state.end() && target->second.owner == object.owner;
  }
  return true;
}

// Text equal for two objects that may not exist together.
std::string UniqueKey(const NaiveObject& object) {
  const Json& spec = object.spec;
  if (object.kind == "PlacementIntent") {
    return "intent " + spec["model_service"].dump();
  }
  if (object.kind == "Quota") {
    return "quota " + spec["organisation"].dump() + spec["service"].dump();
  }
  return object.kind == "Token" ? "token " + spec["sha256"].dump() : "";
}

bool SumHolds(const NaiveState& state,
              const std::string& service,
              double limit) {
  double sum = 0;
  for (const auto& [name, object] : state) {
    if (object.kind == "Quota" && object.spec["service"] == service) {
      sum += object.spec["requests_per_second"].get<double>();
    }
  }
  return limit == 0 || sum <= limit;
}

bool AcceleratorsHold(const NaiveState& state, const Json& spec) {
  const Json& service = state.at(spec["model_service"]).spec;
  const Json& group_class = state.at(service["replica_group_class"]).spec;
  return spec["spread"][0]["replicas"].get<int>() *
             group_class["vm_count"].get<int>() *
             group_class["accelerators_per_vm"].get<int>() <=
         100'000;
}

bool Holds(const NaiveState& state) {
  std::set<std::string> keys;
  for (const auto& [name, object] : state) {
    const std::string key = UniqueKey(object);
    if (!ReferencesHold(state, object) ||
        (!key.empty() && !keys.insert(key).second)) {
      return false;
    }
  }
  for (const auto& [name, object] : state) {
    const bool is_service =
        object.kind == "ModelService" || object.kind == "PlainService";
    if (is_service &&
        !SumHolds(state, name, object.spec["max_requests_per_second"])) {
      return false;
    }
    if (object.kind == "PlacementIntent" &&
        !AcceleratorsHold(state, object.spec)) {
      return false;
    }
  }
  return true;
}

// The state after the change set, or nothing when it is refused.
std::optional<NaiveState> TryChangeSet(NaiveState state,
                                       const LogRecord& record) {
  const Json json = Json::parse(record.payload);
  std::set<std::string> names;
  for (const char* const list : {"put", "delete"}) {
    for (const Json& change : json[list]) {
      const std::string name = change["name"];
      const auto found = state.find(name);
      const bool exists = found != state.end();
      const Offset current = exists ? found->second.revision : kNoOffset;
      const bool is_delete = std::string(list) == "delete";
      if (!names.insert(name).second || change["revision"] != current ||
          change["owner"] != json["partner"] || (is_delete && !exists) ||
          (exists && (found->second.kind != change["kind"] ||
                      found->second.owner != change["owner"]))) {
        return std::nullopt;
      }
      if (is_delete) {
        state.erase(name);
        continue;
      }
      if (change["spec"].contains("bogus")) {
        return std::nullopt;
      }
      state[name] = {change["kind"], change["owner"], record.offset,
                     change["spec"]};
    }
  }
  if (names.empty() || !Holds(state)) {
    return std::nullopt;
  }
  return state;
}

NaiveState EvaluateFromScratch(const std::vector<LogRecord>& history) {
  NaiveState state;
  for (const LogRecord& record : history) {
    std::optional<NaiveState> next = TryChangeSet(state, record);
    if (next.has_value()) {
      state = std::move(*next);
    }
  }
  return state;
}

NaiveState ToNaive(const ConfigView& view) {
  NaiveState state;
  for (const ConfigObject& object : ListObjects(view)) {
    state[object.meta.name.value] = {ToString(object.kind),
                                     object.meta.owner.value,
                                     object.meta.revision, object.spec};
  }
  return state;
}

int Pick(int below) {
  return *rc::gen::resize(100, rc::gen::inRange(0, below));
}

std::string NameOf(ObjectKind kind) {
  return std::string(1, static_cast<char>('a' + static_cast<int>(kind))) +
         std::to_string(Pick(2));
}

std::string ServiceName() {
  return NameOf(Pick(2) == 0 ? ObjectKind::kModelService
                             : ObjectKind::kPlainService);
}

// Every field of the body, so that the naive judge needs no defaults.
Json SpecOf(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kOrganisation:
      return Json(Organisation{"x", 1.0 + Pick(3)});
    case ObjectKind::kReplicaGroupClass:
      return Json(ReplicaGroupClass{1 + Pick(2) * 40, 1 + Pick(2) * 8, true});
    case ObjectKind::kModelService: {
      ModelService service;
      service.replica_group_class =
          ObjectName(NameOf(ObjectKind::kReplicaGroupClass));
      service.version = "v" + std::to_string(Pick(3));
      service.max_requests_per_second = Pick(3) * 5;
      return Json(service);
    }
    case ObjectKind::kPlainService: {
      PlainService service;
      service.max_requests_per_second = Pick(3) * 5;
      return Json(service);
    }
    case ObjectKind::kPlacementIntent: {
      PlacementIntent intent;
      intent.model_service = ObjectName(NameOf(ObjectKind::kModelService));
      intent.spread = {{FailureDomainId("d"), Pick(3) * 1000}};
      return Json(intent);
    }
    case ObjectKind::kQuota: {
      Quota quota;
      quota.organisation = ObjectName(NameOf(ObjectKind::kOrganisation));
      quota.service = ObjectName(ServiceName());
      quota.requests_per_second = Pick(5);
      return Json(quota);
    }
    case ObjectKind::kGrant:
      return Json(Grant{ObjectName(NameOf(kAllObjectKinds[Pick(6)])),
                        PartnerId(Pick(2) == 0 ? "armor" : "cedarline")});
    case ObjectKind::kToken:
      return Json(Token{ObjectName(NameOf(ObjectKind::kOrganisation)),
                        std::string(64, static_cast<char>('a' + Pick(3)))});
  }
  return Json::object();
}

Offset RevisionIn(const ConfigView& seen, const ObjectName& name) {
  const std::optional<ObjectEntry> entry = FindObject(seen, name);
  return entry.has_value() ? entry->meta->revision : kNoOffset;
}

// A change set by an operator who saw `seen`, which may be old.
ChangeSet DrawChangeSet(const ConfigView& seen, Offset offset) {
  ChangeSet change_set;
  change_set.id = AppendId("id" + std::to_string(offset));
  change_set.partner = PartnerId(Pick(4) == 0 ? "cedarline" : "armor");
  const int count = 1 + Pick(3);
  for (int index = 0; index < count; ++index) {
    ObjectChange change;
    change.kind = kAllObjectKinds[Pick(8)];
    change.name = ObjectName(
        NameOf(Pick(20) == 0 ? kAllObjectKinds[Pick(8)] : change.kind));
    change.owner = change_set.partner;
    change.expected_revision = RevisionIn(seen, change.name);
    const bool may_delete = change.expected_revision != kNoOffset;
    if (may_delete && Pick(3) == 0) {
      change.operation = ChangeOperation::kDelete;
    } else {
      change.spec = SpecOf(change.kind);
      if (Pick(30) == 0) {
        change.spec["bogus"] = 1;
      }
    }
    change_set.changes.push_back(std::move(change));
  }
  return change_set;
}

TEST_CASE("The judge agrees with a naive one over racing change sets") {
  int accepted = 0;
  rc::prop("same verdicts and objects", [&accepted] {
    std::vector<LogRecord> history;
    std::vector<ConfigView> views = {ConfigView()};
    // Also starts again from a snapshot in the middle.
    ConfigView restarted;
    const Offset snapshot_at = 1 + Pick(40);
    for (Offset offset = 1; offset <= 40; ++offset) {
      const int lag = Pick(4) == 0 ? Pick(4) : 0;
      const std::size_t seen =
          views.size() - 1 - std::min<std::size_t>(lag, views.size() - 1);
      const ChangeSet change_set = DrawChangeSet(views[seen], offset);
      history.push_back(
          {offset, 0, change_set.id, EncodeChangeSet(change_set)});

      const JudgedRecord judged = JudgeRecord(views.back(), history.back());
      const NaiveState naive = EvaluateFromScratch(history);
      if (ToNaive(judged.view) != naive) {
        RC_FAIL("differs at " + history.back().payload + "\n" +
                ToString(judged.verdict.violations));
      }
      RC_ASSERT(judged.verdict.accepted == (ToNaive(views.back()) != naive));
      accepted += judged.verdict.accepted ? 1 : 0;
      if (offset == snapshot_at) {
        restarted = DecodeSnapshot(EncodeSnapshot(judged.view)).value();
      } else if (offset > snapshot_at) {
        restarted = JudgeRecord(std::move(restarted), history.back()).view;
      }
      views.push_back(judged.view);
    }
    RC_ASSERT(restarted == views.back());
  });
  // A history of refusals alone would prove nothing.
  REQUIRE(accepted > 500);
}

}  // namespace
}  // namespace kumquatcart
