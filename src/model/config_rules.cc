#include "model/config_rules.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "model/config_access.h"
#include "model/config_constants.h"

namespace kumquatcart {

namespace {

std::string LabelOf(const ObjectId& object) {
  return ObjectLabel(object.kind, object.name);
}

std::string DescribeKinds(const std::vector<ObjectKind>& kinds) {
  if (kinds.empty()) {
    return "object";
  }
  std::string text;
  for (const ObjectKind kind : kinds) {
    text += (text.empty() ? "" : " or ") + std::string(ToString(kind));
  }
  return text;
}

bool IsAllowedKind(const ObjectReference& reference, ObjectKind kind) {
  const std::vector<ObjectKind>& allowed = reference.allowed_kinds;
  return allowed.empty() ||
         std::find(allowed.begin(), allowed.end(), kind) != allowed.end();
}

void ReportMissingTarget(const ObjectId& object,
                         const ObjectReference& reference,
                         const ReferenceScope& scope,
                         RuleViolations* violations) {
  if (scope.malformed.count(reference.target) > 0) {
    return;
  }
  const auto deleted = scope.deleted.find(reference.target);
  if (deleted != scope.deleted.end()) {
    violations->push_back(
        {ObjectLabel(deleted->second, reference.target), "", "",
         fmt::format("can't be deleted: {} still refers to it by '{}'",
                     LabelOf(object), reference.field)});
    return;
  }
  violations->push_back({LabelOf(object), "spec." + reference.field,
                         QuoteValue(reference.target.value),
                         fmt::format("must name an existing {}",
                                     DescribeKinds(reference.allowed_kinds))});
}

void CheckReference(const ConfigView& view,
                    const ObjectId& object,
                    const PartnerId& owner,
                    const ObjectReference& reference,
                    const ReferenceScope& scope,
                    RuleViolations* violations) {
  const std::optional<ObjectEntry> target = FindObject(view, reference.target);
  if (!target.has_value()) {
    ReportMissingTarget(object, reference, scope, violations);
    return;
  }
  if (!IsAllowedKind(reference, target->kind)) {
    violations->push_back({LabelOf(object), "spec." + reference.field,
                           QuoteValue(reference.target.value),
                           fmt::format("must name a {}, not a {}",
                                       DescribeKinds(reference.allowed_kinds),
                                       ToString(target->kind))});
    return;
  }
  if (object.kind == ObjectKind::kGrant) {
    return;  // Only the owner may grant; checked with the grant.
  }
  if (!MayReferTo(view, reference.target, target->meta->owner, owner)) {
    violations->push_back(
        {LabelOf(object), "spec." + reference.field,
         QuoteValue(reference.target.value),
         fmt::format("needs a Grant by its owner {} to {}",
                     target->meta->owner.value, owner.value)});
  }
}

void CheckGrant(const ConfigView& view,
                const ObjectId& object,
                const Configured<Grant>& grant,
                RuleViolations* violations) {
  const std::optional<ObjectEntry> target = FindObject(view, grant.body.object);
  if (target.has_value() && target->meta->owner != grant.meta.owner) {
    violations->push_back(
        {LabelOf(object), "spec.object", QuoteValue(grant.body.object.value),
         fmt::format("belongs to {}; only its owner may grant it",
                     target->meta->owner.value)});
  }
}

void CheckClass(const ObjectId& object,
                const ReplicaGroupClass& group_class,
                RuleViolations* violations) {
  if (group_class.vm_count > 1 && !group_class.same_fabric_domain) {
    violations->push_back({LabelOf(object), "spec.same_fabric_domain", "false",
                           "must be true for a group of several VMs"});
  }
}

// Accelerators that one replica of the service takes; 0 when unknown.
long AcceleratorsPerReplica(const ConfigView& view, const ObjectName& service) {
  const auto found_service = view.model_services.find(service);
  if (found_service == view.model_services.end()) {
    return 0;
  }
  const auto found_class = view.replica_group_classes.find(
      found_service->second.body.replica_group_class);
  if (found_class == view.replica_group_classes.end()) {
    return 0;
  }
  const ReplicaGroupClass& group_class = found_class->second.body;
  return static_cast<long>(group_class.vm_count) *
         group_class.accelerators_per_vm;
}

void CheckSpread(const ConfigView& view,
                 const ObjectId& object,
                 const PlacementIntent& intent,
                 RuleViolations* violations) {
  const long per_replica = AcceleratorsPerReplica(view, intent.model_service);
  std::set<FailureDomainId> seen;
  for (const ReplicaCount& count : intent.spread) {
    if (!seen.insert(count.failure_domain).second) {
      violations->push_back({LabelOf(object), "spec.spread",
                             QuoteValue(count.failure_domain.value),
                             "must name each failure domain once"});
    }
    const long accelerators = per_replica * count.replicas;
    if (accelerators > kMaxAcceleratorsPerFailureDomain) {
      violations->push_back(
          {LabelOf(object), "spec.spread",
           QuoteValue(count.failure_domain.value),
           fmt::format("asks for {} accelerators; {} are allowed in one "
                       "failure domain",
                       accelerators, kMaxAcceleratorsPerFailureDomain)});
    }
  }
}

void CheckIntentIsOnlyOne(const ConfigView& view,
                          const ObjectId& object,
                          const PlacementIntent& intent,
                          RuleViolations* violations) {
  for (const auto& [name, other] : view.placement_intents) {
    if (name != object.name &&
        other.body.model_service == intent.model_service) {
      violations->push_back(
          {LabelOf(object), "spec.model_service",
           QuoteValue(intent.model_service.value),
           fmt::format("already has PlacementIntent/{}", name.value)});
    }
  }
}

void CheckQuotaIsOnlyOne(const ConfigView& view,
                         const ObjectId& object,
                         const Quota& quota,
                         RuleViolations* violations) {
  for (const auto& [name, other] : view.quotas) {
    if (name != object.name && other.body.service == quota.service &&
        other.body.organisation == quota.organisation) {
      violations->push_back(
          {LabelOf(object), "spec.organisation",
           QuoteValue(quota.organisation.value),
           fmt::format("already has Quota/{} at this service", name.value)});
    }
  }
}

void CheckTokenIsOnlyOne(const ConfigView& view,
                         const ObjectId& object,
                         const Token& token,
                         RuleViolations* violations) {
  for (const auto& [name, other] : view.tokens) {
    if (name != object.name && other.body.sha256 == token.sha256) {
      violations->push_back(
          {LabelOf(object), "spec.sha256", QuoteValue(token.sha256),
           fmt::format("is already used by Token/{}", name.value)});
    }
  }
}

void ReportSum(const std::string& service_label,
               const char* field,
               double sum,
               double limit,
               RuleViolations* violations) {
  if (limit > 0 && sum > limit) {
    violations->push_back(
        {service_label, std::string("spec.") + field, fmt::format("{}", limit),
         fmt::format("the quotas at this service add up to {}", sum)});
  }
}

// Sums are reported on the service, whichever quota raised them.
void CheckQuotaSums(const ConfigView& view,
                    const ObjectName& service,
                    RuleViolations* violations) {
  double requests = 0;
  double tokens = 0;
  for (const auto& [name, quota] : view.quotas) {
    if (quota.body.service == service) {
      requests += quota.body.requests_per_second;
      tokens += quota.body.tokens_per_second;
    }
  }
  const auto model = view.model_services.find(service);
  if (model != view.model_services.end()) {
    const std::string label = ObjectLabel(ObjectKind::kModelService, service);
    ReportSum(label, "max_requests_per_second", requests,
              model->second.body.max_requests_per_second, violations);
    ReportSum(label, "max_tokens_per_second", tokens,
              model->second.body.max_tokens_per_second, violations);
  }
  const auto plain = view.plain_services.find(service);
  if (plain != view.plain_services.end()) {
    ReportSum(ObjectLabel(ObjectKind::kPlainService, service),
              "max_requests_per_second", requests,
              plain->second.body.max_requests_per_second, violations);
  }
}

void CheckKindRules(const ConfigView& view,
                    const ObjectId& object,
                    RuleViolations* violations) {
  switch (object.kind) {
    case ObjectKind::kOrganisation:
      return;
    case ObjectKind::kReplicaGroupClass:
      CheckClass(object, view.replica_group_classes.at(object.name).body,
                 violations);
      return;
    case ObjectKind::kModelService:
    case ObjectKind::kPlainService:
      CheckQuotaSums(view, object.name, violations);
      return;
    case ObjectKind::kPlacementIntent: {
      const PlacementIntent& intent =
          view.placement_intents.at(object.name).body;
      CheckSpread(view, object, intent, violations);
      CheckIntentIsOnlyOne(view, object, intent, violations);
      return;
    }
    case ObjectKind::kQuota: {
      const Quota& quota = view.quotas.at(object.name).body;
      CheckQuotaIsOnlyOne(view, object, quota, violations);
      CheckQuotaSums(view, quota.service, violations);
      return;
    }
    case ObjectKind::kGrant:
      CheckGrant(view, object, view.grants.at(object.name), violations);
      return;
    case ObjectKind::kToken:
      CheckTokenIsOnlyOne(view, object, view.tokens.at(object.name).body,
                          violations);
      return;
  }
}

}  // namespace

void CheckObject(const ConfigView& view,
                 const ObjectId& object,
                 const ReferenceScope& scope,
                 RuleViolations* violations) {
  const std::optional<ObjectEntry> entry = FindObject(view, object.name);
  if (!entry.has_value() || entry->kind != object.kind) {
    return;
  }
  for (const ObjectReference& reference : ReferencesOf(view, object)) {
    CheckReference(view, object, entry->meta->owner, reference, scope,
                   violations);
  }
  CheckKindRules(view, object, violations);
}

bool MayReferTo(const ConfigView& view,
                const ObjectName& target,
                const PartnerId& owner,
                const PartnerId& partner) {
  if (owner == partner) {
    return true;
  }
  return std::any_of(
      view.grants.begin(), view.grants.end(), [&](const auto& entry) {
        const Configured<Grant>& grant = entry.second;
        return grant.body.object == target && grant.body.to == partner &&
               grant.meta.owner == owner;
      });
}

}  // namespace kumquatcart
