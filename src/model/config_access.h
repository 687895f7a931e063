// Access to the objects of a ConfigView by kind and name.
#ifndef MODEL_CONFIG_ACCESS_H_
#define MODEL_CONFIG_ACCESS_H_

#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

#include "base/comparable.h"
#include "base/json.h"
#include "model/config_view.h"
#include "model/object_kind.h"

namespace kumquatcart {

// An object of any kind with its body as JSON.
struct ConfigObject {
  ObjectKind kind = ObjectKind::kOrganisation;
  ObjectMeta meta;
  Json spec = Json::object();

  auto Tie() const { return std::tie(this->kind, this->meta, this->spec); }
};

// Kind, owner and revision of an object. `meta` points into the view.
struct ObjectEntry {
  ObjectKind kind = ObjectKind::kOrganisation;
  const ObjectMeta* meta = nullptr;
};

// Finds an object of any kind. Thread safe.
std::optional<ObjectEntry> FindObject(const ConfigView& view,
                                      const ObjectName& name);

// A copy of an object of any kind. Thread safe.
std::optional<ConfigObject> ReadObject(const ConfigView& view,
                                       const ObjectName& name);

// Adds or replaces an object. Fails with kInvalidArgument and changes nothing
// when the spec does not fit its kind.
Status PutObject(const ConfigObject& object, ConfigView* view);

// Removes an object; nothing happens when there is none.
void EraseObject(ObjectKind kind, const ObjectName& name, ConfigView* view);

// Every object of `kind`, ordered by name. Thread safe.
std::vector<ConfigObject> ListObjects(const ConfigView& view, ObjectKind kind);

// Every object of every kind. Thread safe.
std::vector<ConfigObject> ListObjects(const ConfigView& view);

// Objects of all kinds. Thread safe.
std::size_t CountObjects(const ConfigView& view);

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_ACCESS_H_
