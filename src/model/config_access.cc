#include "model/config_access.h"

#include <array>
#include <utility>

namespace kumquatcart {

namespace {

// What can be done with the objects of one kind.
struct KindOperations {
  const ObjectMeta* (*find)(const ConfigView& view, const ObjectName& name);
  Json (*read_spec)(const ConfigView& view, const ObjectName& name);
  Status (*put)(const ConfigObject& object, ConfigView* view);
  void (*erase)(const ObjectName& name, ConfigView* view);
  void (*list)(const ConfigView& view,
               ObjectKind kind,
               std::vector<ConfigObject>* objects);
  std::size_t (*count)(const ConfigView& view);
};

template <class Body, ObjectMap<Body> ConfigView::*Map>
struct KindAccess {
  static const ObjectMeta* Find(const ConfigView& view,
                                const ObjectName& name) {
    const auto found = (view.*Map).find(name);
    return found == (view.*Map).end() ? nullptr : &found->second.meta;
  }

  static Json ReadSpec(const ConfigView& view, const ObjectName& name) {
    return Json((view.*Map).at(name).body);
  }

  static Status Put(const ConfigObject& object, ConfigView* view) {
    BOOST_OUTCOME_TRY(body, FromJson<Body>(object.spec));
    (view->*Map)[object.meta.name] = {object.meta, std::move(body)};
    return Ok();
  }

  static void Erase(const ObjectName& name, ConfigView* view) {
    (view->*Map).erase(name);
  }

  static void List(const ConfigView& view,
                   ObjectKind kind,
                   std::vector<ConfigObject>* objects) {
    for (const auto& [name, object] : view.*Map) {
      objects->push_back({kind, object.meta, Json(object.body)});
    }
  }

  static std::size_t Count(const ConfigView& view) {
    return (view.*Map).size();
  }

  static constexpr KindOperations kOperations = {&Find,  &ReadSpec, &Put,
                                                 &Erase, &List,     &Count};
};

// Indexed by ObjectKind.
constexpr std::array<KindOperations, kAllObjectKinds.size()> kOperations = {
    KindAccess<Organisation, &ConfigView::organisations>::kOperations,
    KindAccess<ReplicaGroupClass,
               &ConfigView::replica_group_classes>::kOperations,
    KindAccess<ModelService, &ConfigView::model_services>::kOperations,
    KindAccess<PlainService, &ConfigView::plain_services>::kOperations,
    KindAccess<PlacementIntent, &ConfigView::placement_intents>::kOperations,
    KindAccess<Quota, &ConfigView::quotas>::kOperations,
    KindAccess<Grant, &ConfigView::grants>::kOperations,
    KindAccess<Token, &ConfigView::tokens>::kOperations};

const KindOperations& OperationsOf(ObjectKind kind) {
  return kOperations[static_cast<std::size_t>(kind)];
}

}  // namespace

std::optional<ObjectEntry> FindObject(const ConfigView& view,
                                      const ObjectName& name) {
  for (const ObjectKind kind : kAllObjectKinds) {
    const ObjectMeta* const meta = OperationsOf(kind).find(view, name);
    if (meta != nullptr) {
      return ObjectEntry{kind, meta};
    }
  }
  return std::nullopt;
}

std::optional<ConfigObject> ReadObject(const ConfigView& view,
                                       const ObjectName& name) {
  const std::optional<ObjectEntry> entry = FindObject(view, name);
  if (!entry.has_value()) {
    return std::nullopt;
  }
  return ConfigObject{entry->kind, *entry->meta,
                      OperationsOf(entry->kind).read_spec(view, name)};
}

Status PutObject(const ConfigObject& object, ConfigView* view) {
  return OperationsOf(object.kind).put(object, view);
}

void EraseObject(ObjectKind kind, const ObjectName& name, ConfigView* view) {
  OperationsOf(kind).erase(name, view);
}

std::vector<ConfigObject> ListObjects(const ConfigView& view, ObjectKind kind) {
  std::vector<ConfigObject> objects;
  OperationsOf(kind).list(view, kind, &objects);
  return objects;
}

std::vector<ConfigObject> ListObjects(const ConfigView& view) {
  std::vector<ConfigObject> objects;
  for (const ObjectKind kind : kAllObjectKinds) {
    OperationsOf(kind).list(view, kind, &objects);
  }
  return objects;
}

std::size_t CountObjects(const ConfigView& view) {
  std::size_t count = 0;
  for (const ObjectKind kind : kAllObjectKinds) {
    count += OperationsOf(kind).count(view);
  }
  return count;
}

}  // namespace kumquatcart
