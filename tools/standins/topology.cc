#include "standins/topology.h"

#include <fstream>
#include <iterator>
#include <set>

#include "base/json.h"

namespace kumquatcart::standins {

namespace {

Result<TopologyVm> DecodeVm(const Json& json) {
  BOOST_OUTCOME_TRY(vm, FromJson<Vm>(json));
  if (vm.id.IsEmpty() || vm.endpoint.port == 0) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "a VM lacks its id or endpoint: " + json.dump());
  }
  TopologyVm decoded;
  decoded.enforces_fence = json.value("enforces_fence", true);
  decoded.vm = std::move(vm);
  return decoded;
}

}  // namespace

Result<Topology> DecodeTopology(const std::string& text) {
  BOOST_OUTCOME_TRY(json, ParseJson(text));
  if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, "no list named vms");
  }
  Topology topology;
  std::set<VmId> known;
  for (const Json& row : json["vms"]) {
    BOOST_OUTCOME_TRY(vm, DecodeVm(row));
    if (!known.insert(vm.vm.id).second) {
      return MakeError(ErrorCode::kInvalidArgument,
                       "VM listed twice: " + vm.vm.id.value);
    }
    topology.vms.push_back(std::move(vm));
  }
  return topology;
}

Result<Topology> ReadTopology(const std::string& file) {
  std::ifstream input(file);
  if (!input) {
    return MakeError(ErrorCode::kNotFound, "cannot read " + file);
  }
  const std::string text{std::istreambuf_iterator<char>(input),
                         std::istreambuf_iterator<char>()};
  return DecodeTopology(text);
}

}  // namespace kumquatcart::standins
