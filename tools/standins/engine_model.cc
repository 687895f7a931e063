#include "standins/engine_model.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquatcart::standins {

namespace {

Error Refuse(std::string reason) {
  return MakeError(ErrorCode::kConflict, std::move(reason));
}

}  // namespace

std::string WeightsOf(const EngineClaim& claim) {
  return claim.service.value + "/" + claim.version;
}

EngineModel::EngineModel(VmId vm,
                         std::string incarnation,
                         bool enforces_fence) {
  this->status.vm = std::move(vm);
  this->status.incarnation = std::move(incarnation);
  this->status.enforces_fence = enforces_fence;
}

Result<EngineEffects> EngineModel::Take(const EngineOrder& order,
                                        Duration waited) {
  if (this->taken.count(order.id) > 0) {
    return EngineEffects{};
  }
  BOOST_OUTCOME_TRYV(this->CheckOrder(order, waited));
  Result<EngineEffects> effects = this->Apply(order);
  if (effects.has_value()) {
    this->taken.insert(order.id);
    this->status.fence = std::max(this->status.fence, order.fence);
  }
  return effects;
}

Status EngineModel::CheckOrder(const EngineOrder& order,
                               Duration waited) const {
  if (order.vm != this->status.vm) {
    return Refuse("order is for VM " + order.vm.value);
  }
  if (order.valid_for_ms > 0 &&
      waited > std::chrono::milliseconds(order.valid_for_ms)) {
    return Refuse("order waited longer than it is valid");
  }
  if (this->status.enforces_fence && order.fence < this->status.fence) {
    return Refuse("fencing number is older than " +
                  std::to_string(this->status.fence));
  }
  return Ok();
}

Result<EngineEffects> EngineModel::Apply(const EngineOrder& order) {
  switch (order.kind) {
    case EngineOrderKind::kClaim:
      return this->Claim(order.claim);
    case EngineOrderKind::kServe:
      return this->Serve(order.claim);
    case EngineOrderKind::kDrain:
      return this->Drain(order.claim);
    case EngineOrderKind::kRelease:
      return this->Release(order.claim);
    case EngineOrderKind::kSetRole:
      return this->SetRole(order.claim);
  }
  return Refuse("unknown order");
}

Status EngineModel::CheckOwnClaim(const EngineClaim& claim) const {
  if (claim.group != this->status.claim.group ||
      claim.epoch != this->status.claim.epoch) {
    return Refuse("engine holds group '" + this->status.claim.group.value +
                  "' epoch " + std::to_string(this->status.claim.epoch));
  }
  return Ok();
}

Result<EngineEffects> EngineModel::Claim(const EngineClaim& claim) {
  const bool is_member = std::find(claim.members.begin(), claim.members.end(),
                                   this->status.vm) != claim.members.end();
  if (claim.group.IsEmpty() || !is_member) {
    return Refuse("claim names no group or not this VM");
  }
  if (claim == this->status.claim) {
    return EngineEffects{};
  }
  const bool empty = this->status.state == EngineState::kEmpty;
  const bool newer_epoch = claim.group == this->status.claim.group &&
                           claim.epoch > this->status.claim.epoch;
  if (!empty && !newer_epoch) {
    return Refuse("engine holds group '" + this->status.claim.group.value +
                  "' epoch " + std::to_string(this->status.claim.epoch));
  }
  EngineEffects effects;
  effects.end_streams = true;
  if (this->status.loaded_version != WeightsOf(claim)) {
    const bool same_load =
        this->loading && WeightsOf(this->status.claim) == WeightsOf(claim);
    effects.start_load = !same_load;
    this->loading = true;
    this->status.loaded_version.clear();
  }
  this->status.claim = claim;
  this->status.state = EngineState::kLoading;
  return effects;
}

Result<EngineEffects> EngineModel::Serve(const EngineClaim& claim) {
  BOOST_OUTCOME_TRYV(this->CheckOwnClaim(claim));
  if (this->status.state == EngineState::kEmpty) {
    return Refuse("engine holds no group");
  }
  if (this->status.loaded_version != WeightsOf(this->status.claim)) {
    return Refuse("weights are not loaded");
  }
  this->status.state = EngineState::kReady;
  return EngineEffects{};
}

Result<EngineEffects> EngineModel::Drain(const EngineClaim& claim) {
  BOOST_OUTCOME_TRYV(this->CheckOwnClaim(claim));
  if (this->status.state != EngineState::kReady &&
      this->status.state != EngineState::kDraining) {
    return Refuse("engine does not serve");
  }
  this->status.state = EngineState::kDraining;
  return EngineEffects{};
}

Result<EngineEffects> EngineModel::Release(const EngineClaim& claim) {
  EngineEffects effects;
  if (this->status.state == EngineState::kEmpty) {
    return effects;
  }
  BOOST_OUTCOME_TRYV(this->CheckOwnClaim(claim));
  effects.cancel_load = this->loading;
  effects.end_streams = true;
  this->loading = false;
  this->status.claim = EngineClaim{};
  this->status.state = EngineState::kEmpty;
  return effects;
}

Result<EngineEffects> EngineModel::SetRole(const EngineClaim& claim) {
  BOOST_OUTCOME_TRYV(this->CheckOwnClaim(claim));
  this->status.claim.role = claim.role;
  return EngineEffects{};
}

void EngineModel::FinishLoad() {
  if (!this->loading) {
    return;
  }
  this->loading = false;
  this->status.loaded_version = WeightsOf(this->status.claim);
}

Status EngineModel::CheckGenerate(const GenerateRequest& request) const {
  const EngineClaim& claim = this->status.claim;
  if (claim.group.IsEmpty() || claim.group != request.group ||
      claim.epoch != request.epoch) {
    return Refuse("engine does not hold this group and epoch");
  }
  if (this->status.state != EngineState::kReady) {
    return Refuse("engine is not ready");
  }
  if (claim.members.front() != this->status.vm) {
    return Refuse("engine does not lead the group");
  }
  return Ok();
}

}  // namespace kumquatcart::standins
