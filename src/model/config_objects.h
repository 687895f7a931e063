// The named objects that operators publish.
//
// Objects refer to one another by name. Cross-object rules are checked on whole
// change sets.
#ifndef MODEL_CONFIG_OBJECTS_H_
#define MODEL_CONFIG_OBJECTS_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/comparable.h"
#include "base/ids.h"
#include "model/engine.h"

namespace kumquatcart {

// A customer of a partner whose callers send requests.
struct Organisation {
  std::string display_name;
  double weight = 1.0;  // Share in fair queues.

  auto Tie() const { return std::tie(this->display_name, this->weight); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Organisation,
                                                display_name,
                                                weight)

// How the VMs of one replica are put together.
struct ReplicaGroupClass {
  int vm_count = 1;
  int accelerators_per_vm = 1;
  bool same_fabric_domain = true;  // Must be true for groups of several VMs.

  auto Tie() const {
    return std::tie(this->vm_count, this->accelerators_per_vm,
                    this->same_fabric_domain);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplicaGroupClass,
                                                vm_count,
                                                accelerators_per_vm,
                                                same_fabric_domain)

// A language model that callers may ask for by this object's name.
struct ModelService {
  ObjectName replica_group_class;
  std::string version;
  std::int64_t weights_bytes_per_vm = 0;
  std::int64_t first_token_target_ms = 1500;
  EngineRole role = EngineRole::kMixed;
  // Bounds on the sums over the quotas at this service; 0 sets none.
  double max_requests_per_second = 0;
  double max_tokens_per_second = 0;

  auto Tie() const {
    return std::tie(this->replica_group_class, this->version,
                    this->weights_bytes_per_vm, this->first_token_target_ms,
                    this->role, this->max_requests_per_second,
                    this->max_tokens_per_second);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ModelService,
                                                replica_group_class,
                                                version,
                                                weights_bytes_per_vm,
                                                first_token_target_ms,
                                                role,
                                                max_requests_per_second,
                                                max_tokens_per_second)

// One rule of a plain service: requests it matches are not idempotent.
struct NonIdempotentRoute {
  std::string method;       // Upper case, or "*".
  std::string path_prefix;  // Below /services/{service}.

  auto Tie() const { return std::tie(this->method, this->path_prefix); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NonIdempotentRoute,
                                                method,
                                                path_prefix)

// A service that runs beside the model engines.
struct PlainService {
  std::vector<NonIdempotentRoute> non_idempotent_routes;
  std::int64_t timeout_ms = 10000;
  // Bound on the sum over the quotas at this service; 0 sets none.
  double max_requests_per_second = 0;

  auto Tie() const {
    return std::tie(this->non_idempotent_routes, this->timeout_ms,
                    this->max_requests_per_second);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlainService,
                                                non_idempotent_routes,
                                                timeout_ms,
                                                max_requests_per_second)

// Replicas wanted in one failure domain.
struct ReplicaCount {
  FailureDomainId failure_domain;
  int replicas = 0;

  auto Tie() const { return std::tie(this->failure_domain, this->replicas); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplicaCount,
                                                failure_domain,
                                                replicas)

// How many replicas of a model service to keep, and where.
struct PlacementIntent {
  ObjectName model_service;
  std::vector<ReplicaCount> spread;
  double downtime_weight = 1.0;   // Price of one group-second of downtime.
  double stranding_weight = 1.0;  // Price of one stranded accelerator-second.
  int spare_vms_per_fabric_domain = 0;

  auto Tie() const {
    return std::tie(this->model_service, this->spread, this->downtime_weight,
                    this->stranding_weight, this->spare_vms_per_fabric_domain);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlacementIntent,
                                                model_service,
                                                spread,
                                                downtime_weight,
                                                stranding_weight,
                                                spare_vms_per_fabric_domain)

// Limits of one organisation at one service.
struct Quota {
  ObjectName organisation;
  ObjectName service;  // Model or plain service.
  double requests_per_second = 0;
  double tokens_per_second = 0;
  int concurrent_requests = 0;

  auto Tie() const {
    return std::tie(this->organisation, this->service,
                    this->requests_per_second, this->tokens_per_second,
                    this->concurrent_requests);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Quota,
                                                organisation,
                                                service,
                                                requests_per_second,
                                                tokens_per_second,
                                                concurrent_requests)

// Lets another partner's objects refer to one of the owner's objects.
struct Grant {
  ObjectName object;
  PartnerId to;

  auto Tie() const { return std::tie(this->object, this->to); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Grant, object, to)

// A caller's secret, kept hashed.
struct Token {
  ObjectName organisation;
  std::string sha256;  // Lower-case hexadecimal digest of the bearer token.

  auto Tie() const { return std::tie(this->organisation, this->sha256); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Token, organisation, sha256)

// What every object has beside its body.
struct ObjectMeta {
  ObjectName name;
  PartnerId owner;
  std::int64_t revision = 0;  // Offset of the change set that last wrote it.

  auto Tie() const { return std::tie(this->name, this->owner, this->revision); }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ObjectMeta,
                                                name,
                                                owner,
                                                revision)

}  // namespace kumquatcart

#endif  // MODEL_CONFIG_OBJECTS_H_
