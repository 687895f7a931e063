#include "model/config_references.h"

#include <array>

namespace kumquatcart {

namespace {

using References = std::vector<ObjectReference>;

References ReferencesOfBody(const Organisation&) {
  return {};
}

References ReferencesOfBody(const ReplicaGroupClass&) {
  return {};
}

References ReferencesOfBody(const ModelService& service) {
  return {{"replica_group_class",
           service.replica_group_class,
           {ObjectKind::kReplicaGroupClass}}};
}

References ReferencesOfBody(const PlainService&) {
  return {};
}

References ReferencesOfBody(const PlacementIntent& intent) {
  return {{"model_service", intent.model_service, {ObjectKind::kModelService}}};
}

References ReferencesOfBody(const Quota& quota) {
  return {{"organisation", quota.organisation, {ObjectKind::kOrganisation}},
          {"service",
           quota.service,
           {ObjectKind::kModelService, ObjectKind::kPlainService}}};
}

References ReferencesOfBody(const Grant& grant) {
  return {{"object", grant.object, {}}};
}

References ReferencesOfBody(const Token& token) {
  return {{"organisation", token.organisation, {ObjectKind::kOrganisation}}};
}

// Reads the references of the objects of one kind.
struct ReferenceReader {
  References (*read)(const ConfigView& view, const ObjectName& name);
  void (*find_referrers)(const ConfigView& view,
                         ObjectKind kind,
                         const std::set<ObjectName>& targets,
                         std::vector<ObjectId>* referrers);
};

template <class Body, ObjectMap<Body> ConfigView::*Map>
struct KindReferences {
  static References Read(const ConfigView& view, const ObjectName& name) {
    const auto found = (view.*Map).find(name);
    return found == (view.*Map).end() ? References()
                                      : ReferencesOfBody(found->second.body);
  }

  static void FindReferrers(const ConfigView& view,
                            ObjectKind kind,
                            const std::set<ObjectName>& targets,
                            std::vector<ObjectId>* referrers) {
    for (const auto& [name, object] : view.*Map) {
      for (const ObjectReference& reference : ReferencesOfBody(object.body)) {
        if (targets.count(reference.target) > 0) {
          referrers->push_back({kind, name});
          break;
        }
      }
    }
  }

  static constexpr ReferenceReader kReader = {&Read, &FindReferrers};
};

// Indexed by ObjectKind.
constexpr std::array<ReferenceReader, kAllObjectKinds.size()> kReaders = {
    KindReferences<Organisation, &ConfigView::organisations>::kReader,
    KindReferences<ReplicaGroupClass,
                   &ConfigView::replica_group_classes>::kReader,
    KindReferences<ModelService, &ConfigView::model_services>::kReader,
    KindReferences<PlainService, &ConfigView::plain_services>::kReader,
    KindReferences<PlacementIntent, &ConfigView::placement_intents>::kReader,
    KindReferences<Quota, &ConfigView::quotas>::kReader,
    KindReferences<Grant, &ConfigView::grants>::kReader,
    KindReferences<Token, &ConfigView::tokens>::kReader};

}  // namespace

std::vector<ObjectReference> ReferencesOf(const ConfigView& view,
                                          const ObjectId& object) {
  return kReaders[static_cast<std::size_t>(object.kind)].read(view,
                                                              object.name);
}

std::vector<ObjectId> FindReferrers(const ConfigView& view,
                                    const std::set<ObjectName>& targets) {
  std::vector<ObjectId> referrers;
  for (const ObjectKind kind : kAllObjectKinds) {
    kReaders[static_cast<std::size_t>(kind)].find_referrers(view, kind, targets,
                                                            &referrers);
  }
  return referrers;
}

}  // namespace kumquatcart
