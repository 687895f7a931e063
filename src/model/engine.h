// What a model engine on a backend server reports and which orders it takes.
#ifndef MODEL_ENGINE_H_
#define MODEL_ENGINE_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/comparable.h"
#include "base/ids.h"
#include "model/lease.h"
#include "model/vm.h"

namespace kumquatcart {

// Counts the formations of one group; a member swap raises it.
using GroupEpoch = std::int64_t;

// Work that the engines of a group share between them.
enum class EngineRole { kMixed, kPrefill, kDecode };
NLOHMANN_JSON_SERIALIZE_ENUM(EngineRole,
                             {{EngineRole::kMixed, "mixed"},
                              {EngineRole::kPrefill, "prefill"},
                              {EngineRole::kDecode, "decode"}})

// Where an engine is in the life of its claim.
enum class EngineState {
  kEmpty,     // Claimed by no group.
  kLoading,   // Claimed; weights are on their way.
  kReady,     // Claimed, weights loaded, agrees to serve.
  kDraining,  // Finishes running streams, takes no new ones.
};
NLOHMANN_JSON_SERIALIZE_ENUM(EngineState,
                             {{EngineState::kEmpty, "empty"},
                              {EngineState::kLoading, "loading"},
                              {EngineState::kReady, "ready"},
                              {EngineState::kDraining, "draining"}})
std::ostream& operator<<(std::ostream& out, EngineState state);

// The one group that an engine belongs to.
struct EngineClaim {
  GroupId group;  // Empty: none.
  GroupEpoch epoch = 0;
  ServiceName service;
  std::string version;
  EngineRole role = EngineRole::kMixed;
  std::vector<VmId>
      members;  // All VMs of the group in rank order; the first one leads.

  auto Tie() const {
    return std::tie(this->group, this->epoch, this->service, this->version,
                    this->role, this->members);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineClaim,
                                                group,
                                                epoch,
                                                service,
                                                version,
                                                role,
                                                members)

// Load of an engine; lags behind reality.
struct EngineLoad {
  int running = 0;          // Streams being generated.
  int queued = 0;           // Streams waiting inside the engine.
  double kv_used = 0;       // Part of the KV cache in use, 0 to 1.
  int capacity = 0;         // Streams it can run at once.
  std::int64_t age_ms = 0;  // Age of these figures when reported.

  auto Tie() const {
    return std::tie(this->running, this->queued, this->kv_used, this->capacity,
                    this->age_ms);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineLoad,
                                                running,
                                                queued,
                                                kv_used,
                                                capacity,
                                                age_ms)

// Answer of GET /engine/status.
struct EngineStatus {
  VmId vm;
  std::string incarnation;  // Changes whenever the engine process restarts.
  EngineState state = EngineState::kEmpty;
  EngineClaim claim;
  FencingNumber fence = 0;     // Highest fencing number seen.
  bool enforces_fence = true;  // False: takes orders with any number.
  std::string loaded_version;  // "service/version" whose weights are in memory,
                               // or empty.
  EngineLoad load;

  auto Tie() const {
    return std::tie(this->vm, this->incarnation, this->state, this->claim,
                    this->fence, this->enforces_fence, this->loaded_version,
                    this->load);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineStatus,
                                                vm,
                                                incarnation,
                                                state,
                                                claim,
                                                fence,
                                                enforces_fence,
                                                loaded_version,
                                                load)

// What an order asks for.
enum class EngineOrderKind {
  kClaim,    // Join the group in `claim` and load its weights. Needs an empty
             // engine, or the same group with a lower epoch.
  kServe,    // Every member is loaded: go to ready.
  kDrain,    // Take no new streams.
  kRelease,  // Leave the group in `claim`; refused when the engine holds
             // another group or epoch.
  kSetRole,  // Change the role inside the group.
};
NLOHMANN_JSON_SERIALIZE_ENUM(EngineOrderKind,
                             {{EngineOrderKind::kClaim, "claim"},
                              {EngineOrderKind::kServe, "serve"},
                              {EngineOrderKind::kDrain, "drain"},
                              {EngineOrderKind::kRelease, "release"},
                              {EngineOrderKind::kSetRole, "set-role"}})

// Body of POST /engine/orders. Repeating an order with the same id has no
// further effect.
struct EngineOrder {
  OrderId id;
  EngineOrderKind kind = EngineOrderKind::kClaim;
  VmId vm;
  FencingNumber fence = 0;
  std::int64_t valid_for_ms =
      0;  // The engine drops an order that waited longer than this.
  EngineClaim claim;

  auto Tie() const {
    return std::tie(this->id, this->kind, this->vm, this->fence,
                    this->valid_for_ms, this->claim);
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineOrder,
                                                id,
                                                kind,
                                                vm,
                                                fence,
                                                valid_for_ms,
                                                claim)

// What one node last received from a VM's engine or plain service.
struct EngineObservation {
  EngineStatus status;        // Engines only.
  MonotonicTime observed_at;  // Local reading when the answer arrived.
  int consecutive_failures = 0;

  auto Tie() const {
    return std::tie(this->status, this->observed_at,
                    this->consecutive_failures);
  }
};

struct EngineTable {
  std::map<VmId, EngineObservation> engines;

  auto Tie() const { return std::tie(this->engines); }
};

}  // namespace kumquatcart

#endif  // MODEL_ENGINE_H_
