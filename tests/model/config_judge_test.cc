#include "model/config_judge.h"

#include <catch2/catch.hpp>

#include "model/change_set_builder.h"
#include "model/config_access.h"

namespace kumquatcart {
namespace {

const Json kClass = {{"vm_count", 2}, {"accelerators_per_vm", 4}};
const Json kService = {{"replica_group_class", "pair"}, {"version", "v1"}};

ConfigView ViewWithService() {
  const LogRecord record =
      ChangeSetBuilder("first")
          .Put(ObjectKind::kReplicaGroupClass, "pair", kClass)
          .Put(ObjectKind::kModelService, "llm", kService)
          .Record(1);
  JudgedRecord judged = JudgeRecord(ConfigView(), record);
  REQUIRE(judged.verdict.accepted);
  return judged.view;
}

std::string ReasonsOf(const ChangeSetBuilder& builder, const ConfigView& view) {
  const JudgedRecord judged =
      JudgeRecord(view, builder.Record(view.offset + 1));
  REQUIRE(judged.verdict.accepted == judged.verdict.violations.empty());
  if (!judged.verdict.accepted) {
    ConfigView unchanged = view;
    unchanged.offset = judged.view.offset;
    REQUIRE(judged.view == unchanged);
  }
  return ToString(judged.verdict.violations);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("All errors of a change set are shown at once") {
  const std::string reasons = ReasonsOf(
      ChangeSetBuilder("c")
          .Put(ObjectKind::kReplicaGroupClass, "wide",
               {{"vm_count", 0}, {"accelerators_per_vm", "x"}, {"colour", 1}})
          .Put(ObjectKind::kModelService, "llm", kService, 7)
          .Put(ObjectKind::kQuota, "q",
               {{"organisation", "nobody"}, {"service", "pair"}}),
      ViewWithService());
  for (const char* const part :
       {"ReplicaGroupClass/wide: field 'spec.vm_count' is 0, but must be a "
        "whole number from 1 to 64",
        "spec.accelerators_per_vm", "colour", "is not a known field",
        "ModelService/llm: field 'revision' is 7, but the revision in force is "
        "1; plan again",
        "Quota/q: field 'spec.organisation' is \"nobody\", but must name an "
        "existing Organisation",
        "must name a ModelService or PlainService, not a ReplicaGroupClass"}) {
    INFO(reasons);
    REQUIRE(Contains(reasons, part));
  }
}

TEST_CASE("A malformed record is refused and advances the offset") {
  const ConfigView view = ViewWithService();
  const std::size_t levels = 200'000;
  const std::string deep = "{\"format\":" + std::string(levels, '[') +
                           std::string(levels, ']') + "}";
  std::string unusable_changes =
      R"({"format":1,"id":"x","actor":"a","partner":"armor","time_unix_ms":0,)";
  unusable_changes += R"("put":[1,null,{"kind":5},)";
  unusable_changes += R"({"kind":"Quota","name":[],"spec":[]}]})";
  const std::vector<std::string> payloads = {
      "",
      "null",
      "[]",
      "{",
      deep,
      "\xff\xfe",
      R"({"format":1})",
      R"({"format":2,"id":"x","actor":"a","partner":"p","time_unix_ms":0})",
      unusable_changes,
      R"({"format":1,"id":"x","actor":1e400,"partner":{},"put":{}})",
      ChangeSetBuilder("x").Payload(),
      std::string(2'000'000, ' ')};
  for (const std::string& payload : payloads) {
    const JudgedRecord judged =
        JudgeRecord(view, {2, 0, AppendId("x"), payload});
    ConfigView expected = view;
    expected.offset = 2;
    REQUIRE_FALSE(judged.verdict.accepted);
    REQUIRE(judged.view == expected);
  }
}

TEST_CASE("An old change set appended again can't revert the object") {
  ConfigView view = ViewWithService();
  const Json newer = {{"replica_group_class", "pair"}, {"version", "v2"}};
  const ChangeSetBuilder upgrade =
      ChangeSetBuilder("up").Put(ObjectKind::kModelService, "llm", newer, 1);
  view = JudgeRecord(view, upgrade.Record(2)).view;
  REQUIRE(view.model_services.at(ObjectName("llm")).body.version == "v2");

  const ChangeSetBuilder stale = ChangeSetBuilder("back").Put(
      ObjectKind::kModelService, "llm", kService, 1);
  REQUIRE(Contains(ReasonsOf(stale, view), "revision in force is 2"));
  REQUIRE(Contains(ReasonsOf(upgrade, view), "revision in force is 2"));
}

TEST_CASE("A partner changes its own objects only and needs grants") {
  ConfigView view = ViewWithService();
  const ChangeSetBuilder theft =
      ChangeSetBuilder("t", "cedarline")
          .Put(ObjectKind::kModelService, "llm", kService, 1);
  REQUIRE(Contains(ReasonsOf(theft, view), "the object belongs to armor"));

  ChangeSetBuilder quota = ChangeSetBuilder("q", "cedarline");
  quota.Put(ObjectKind::kOrganisation, "clinic", Json::object())
      .Put(ObjectKind::kQuota, "clinic-llm",
           {{"organisation", "clinic"}, {"service", "llm"}});
  REQUIRE(Contains(ReasonsOf(quota, view), "needs a Grant by its owner armor"));

  const Json grant = {{"object", "llm"}, {"to", "cedarline"}};
  const ChangeSetBuilder forged =
      ChangeSetBuilder("f", "cedarline").Put(ObjectKind::kGrant, "g", grant);
  REQUIRE(Contains(ReasonsOf(forged, view), "only its owner may grant it"));

  view =
      JudgeRecord(
          view,
          ChangeSetBuilder("g").Put(ObjectKind::kGrant, "g", grant).Record(2))
          .view;
  view = JudgeRecord(view, quota.Record(3)).view;
  REQUIRE(view.quotas.size() == 1);
  const ChangeSetBuilder withdraw =
      ChangeSetBuilder("w").Delete(ObjectKind::kGrant, "g", 2);
  REQUIRE(Contains(ReasonsOf(withdraw, view), "needs a Grant"));
}

TEST_CASE("Sums, fabric rule and referred objects are checked whole") {
  const ConfigView view = ViewWithService();
  const ChangeSetBuilder orphan =
      ChangeSetBuilder("d").Delete(ObjectKind::kReplicaGroupClass, "pair", 1);
  REQUIRE(Contains(ReasonsOf(orphan, view),
                   "ReplicaGroupClass/pair: can't be deleted: "
                   "ModelService/llm still refers to it"));

  const Json limited = {{"replica_group_class", "pair"},
                        {"version", "v1"},
                        {"max_requests_per_second", 10}};
  ChangeSetBuilder sums = ChangeSetBuilder("s");
  sums.Put(ObjectKind::kModelService, "llm", limited, 1);
  for (const char* const name : {"a", "b"}) {
    const std::string quota = std::string(name) + "-quota";
    sums.Put(ObjectKind::kOrganisation, name, Json::object())
        .Put(ObjectKind::kQuota, quota,
             {{"organisation", name},
              {"service", "llm"},
              {"requests_per_second", 6}});
  }
  REQUIRE(Contains(ReasonsOf(sums, view), "add up to 12"));

  const Json loose = {{"vm_count", 2},
                      {"accelerators_per_vm", 1},
                      {"same_fabric_domain", false}};
  REQUIRE(Contains(ReasonsOf(ChangeSetBuilder("l").Put(
                                 ObjectKind::kReplicaGroupClass, "l", loose),
                             view),
                   "must be true for a group of several VMs"));
}

}  // namespace
}  // namespace kumquatcart
