#include "model/object_schema.h"

#include <map>

#include "model/config_constants.h"
#include "model/config_objects.h"

namespace kumquatcart {

namespace {

constexpr double kMaxWeight = 1e6;
constexpr double kMaxRatePerSecond = 1e9;
constexpr double kMaxConcurrency = 1e6;
constexpr double kMaxWeightsBytes = 1e13;
constexpr double kMaxTimeoutMs = 3'600'000;
constexpr std::size_t kMaxRoutes = 100;
constexpr std::size_t kMaxFailureDomains = 100;
constexpr std::size_t kSha256HexLength = 64;
constexpr bool kRequired = true;
constexpr bool kOptional = false;

std::vector<FieldRule> OrganisationFields() {
  return {{"display_name", kOptional, IsText(kMaxTextBytes), {}},
          {"weight", kOptional, IsNumber(0.001, kMaxWeight), {}}};
}

std::vector<FieldRule> ReplicaGroupClassFields() {
  return {
      {"vm_count", kRequired, IsInteger(1, kMaxVmsPerGroup), {}},
      {"accelerators_per_vm",
       kRequired,
       IsInteger(1, kMaxAcceleratorsPerVm),
       {}},
      {"same_fabric_domain", kOptional, IsBoolean(), {}},
  };
}

std::vector<FieldRule> ModelServiceFields() {
  return {
      {"replica_group_class", kRequired, IsName(), {}},
      {"version", kRequired, IsName(), {}},
      {"weights_bytes_per_vm", kOptional, IsInteger(0, kMaxWeightsBytes), {}},
      {"first_token_target_ms", kOptional, IsInteger(1, kMaxTimeoutMs), {}},
      {"role", kOptional, IsOneOf({"mixed", "prefill", "decode"}), {}},
      {"max_requests_per_second",
       kOptional,
       IsNumber(0, kMaxRatePerSecond),
       {}},
      {"max_tokens_per_second", kOptional, IsNumber(0, kMaxRatePerSecond), {}},
  };
}

std::vector<FieldRule> PlainServiceFields() {
  const std::vector<FieldRule> route = {
      {"method",
       kRequired,
       IsOneOf({"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}),
       {}},
      {"path_prefix", kRequired, IsPathPrefix(), {}}};
  return {
      {"non_idempotent_routes", kOptional, IsList(kMaxRoutes), route},
      {"timeout_ms", kOptional, IsInteger(1, kMaxTimeoutMs), {}},
      {"max_requests_per_second",
       kOptional,
       IsNumber(0, kMaxRatePerSecond),
       {}},
  };
}

std::vector<FieldRule> PlacementIntentFields() {
  const std::vector<FieldRule> count = {
      {"failure_domain", kRequired, IsName(), {}},
      {"replicas", kRequired, IsInteger(0, kMaxReplicasPerFailureDomain), {}}};
  return {
      {"model_service", kRequired, IsName(), {}},
      {"spread", kRequired, IsList(kMaxFailureDomains), count},
      {"downtime_weight", kOptional, IsNumber(0, kMaxWeight), {}},
      {"stranding_weight", kOptional, IsNumber(0, kMaxWeight), {}},
      {"spare_vms_per_fabric_domain",
       kOptional,
       IsInteger(0, kMaxVmsPerGroup),
       {}},
  };
}

std::vector<FieldRule> QuotaFields() {
  return {
      {"organisation", kRequired, IsName(), {}},
      {"service", kRequired, IsName(), {}},
      {"requests_per_second", kOptional, IsNumber(0, kMaxRatePerSecond), {}},
      {"tokens_per_second", kOptional, IsNumber(0, kMaxRatePerSecond), {}},
      {"concurrent_requests", kOptional, IsInteger(0, kMaxConcurrency), {}},
  };
}

std::vector<FieldRule> GrantFields() {
  return {{"object", kRequired, IsName(), {}}, {"to", kRequired, IsName(), {}}};
}

std::vector<FieldRule> TokenFields() {
  return {{"organisation", kRequired, IsName(), {}},
          {"sha256", kRequired, IsLowerHex(kSha256HexLength), {}}};
}

std::map<ObjectKind, std::vector<FieldRule>> AllSpecFields() {
  return {{ObjectKind::kOrganisation, OrganisationFields()},
          {ObjectKind::kReplicaGroupClass, ReplicaGroupClassFields()},
          {ObjectKind::kModelService, ModelServiceFields()},
          {ObjectKind::kPlainService, PlainServiceFields()},
          {ObjectKind::kPlacementIntent, PlacementIntentFields()},
          {ObjectKind::kQuota, QuotaFields()},
          {ObjectKind::kGrant, GrantFields()},
          {ObjectKind::kToken, TokenFields()}};
}

}  // namespace

const std::vector<FieldRule>& SpecFields(ObjectKind kind) {
  static const std::map<ObjectKind, std::vector<FieldRule>> fields =
      AllSpecFields();
  return fields.at(kind);
}

void CheckSpec(ObjectKind kind,
               const std::string& label,
               const Json& spec,
               RuleViolations* violations) {
  CheckFields(label, "spec", spec, SpecFields(kind), violations);
}

}  // namespace kumquatcart
