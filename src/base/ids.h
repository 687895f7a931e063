// Strongly typed identifiers.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/comparable.h"

namespace kumquatcart {

// A string identifier whose type depends on `Tag`; identifiers with different
// tags do not convert to each other. An empty value means that no identifier is
// set.
template <class Tag>
struct StrongId {
  std::string value;

  StrongId() = default;
  explicit StrongId(std::string value) : value(std::move(value)) {}

  bool IsEmpty() const { return this->value.empty(); }
  auto Tie() const { return std::tie(this->value); }

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value;
  }
  friend void to_json(nlohmann::json& json, const StrongId& id) {
    json = id.value;
  }
  friend void from_json(const nlohmann::json& json, StrongId& id) {
    id.value = json.get<std::string>();
  }
};

using AppendId =
    StrongId<struct AppendIdTag>;  // One append to the platform log.
using AttemptId = StrongId<struct AttemptIdTag>;  // One attempt at a request.
using FabricDomainId =
    StrongId<struct FabricDomainIdTag>;  // VMs connected by a fast network.
using FailureDomainId = StrongId<struct FailureDomainIdTag>;
using GroupId =
    StrongId<struct GroupIdTag>;  // A replica group; IDs are never reused.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using NodeId = StrongId<struct NodeIdTag>;  // One run of an entry VM process.
using ObjectName =
    StrongId<struct ObjectNameTag>;           // Name of a configuration object.
using OrderId = StrongId<struct OrderIdTag>;  // One order to an engine.
using OrganisationId = StrongId<struct OrganisationIdTag>;
using PartnerId = StrongId<struct PartnerIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using StreamName =
    StrongId<struct StreamNameTag>;  // A stream of the platform log.
using VmId = StrongId<struct VmIdTag>;

// Returns a new random identifier of 32 lower-case hexadecimal digits. Thread
// safe.
std::string MakeRandomId();

template <class Id>
Id MakeId() {
  return Id(MakeRandomId());
}

// Lower-case hexadecimal SHA-256 of `text`, used where secrets are compared or
// stored. Thread safe.
std::string Sha256Hex(const std::string& text);

}  // namespace kumquatcart

template <class Tag>
struct std::hash<kumquatcart::StrongId<Tag>> {
  std::size_t operator()(const kumquatcart::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

#endif  // BASE_IDS_H_
