// The VMs that the stand-ins play.
#ifndef STANDINS_TOPOLOGY_H_
#define STANDINS_TOPOLOGY_H_

#include <string>
#include <vector>

#include "base/outcome.h"
#include "model/vm.h"

namespace kumquatcart::standins {

// One VM of the topology file.
struct TopologyVm {
  Vm vm;
  bool enforces_fence = true;  // Engines only.

  auto Tie() const { return std::tie(this->vm, this->enforces_fence); }
};

struct Topology {
  std::vector<TopologyVm> vms;

  auto Tie() const { return std::tie(this->vms); }
};

// Decodes `{"vms": [...]}`, where each VM has the fields of Vm and optionally
// `enforces_fence`. Errors: kInvalidArgument.
Result<Topology> DecodeTopology(const std::string& text);

// Reads and decodes a file. Errors: kNotFound, kInvalidArgument.
Result<Topology> ReadTopology(const std::string& file);

}  // namespace kumquatcart::standins

#endif  // STANDINS_TOPOLOGY_H_
