// Virtual machines as the platform lists them.
#ifndef MODEL_VM_H_
#define MODEL_VM_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"

namespace kumquatcart {

// An IP address and port.
struct Endpoint {
  std::string host;  // Numeric IP address.
  std::uint16_t port = 0;

  std::string ToString() const {
    return this->host + ":" + std::to_string(this->port);
  }
  auto Tie() const { return std::tie(this->host, this->port); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, host, port)

enum class VmRole { kEntry, kEngine, kPlainService };
NLOHMANN_JSON_SERIALIZE_ENUM(VmRole,
                             {{VmRole::kEntry, "entry"},
                              {VmRole::kEngine, "engine"},
                              {VmRole::kPlainService, "plain-service"}})

enum class VmState { kLive, kLeaving };
NLOHMANN_JSON_SERIALIZE_ENUM(VmState,
                             {{VmState::kLive, "live"},
                              {VmState::kLeaving, "leaving"}})

// One row of the platform's VM list. The list lags behind reality.
struct Vm {
  VmId id;
  PartnerId partner;
  RegionId region;
  FailureDomainId failure_domain;
  FabricDomainId fabric_domain;  // Empty for entry VMs and plain services.
  VmRole role = VmRole::kEngine;
  VmState state = VmState::kLive;
  int accelerators = 0;
  // Entry VM: peer port. Engine and plain service: HTTP port.
  Endpoint endpoint;
  ServiceName service;  // Plain services: the service it runs. Empty otherwise.

  auto Tie() const {
    return std::tie(this->id, this->partner, this->region, this->failure_domain,
                    this->fabric_domain, this->role, this->state,
                    this->accelerators, this->endpoint, this->service);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Vm,
                                                id,
                                                partner,
                                                region,
                                                failure_domain,
                                                fabric_domain,
                                                role,
                                                state,
                                                accelerators,
                                                endpoint,
                                                service)

// The VM list as last read.
struct VmTable {
  std::map<VmId, Vm> vms;

  auto Tie() const { return std::tie(this->vms); }
};

}  // namespace kumquatcart

#endif  // MODEL_VM_H_
