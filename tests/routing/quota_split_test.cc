#include "routing/quota_split.h"

#include <cmath>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

DemandByNode AnyDemand() {
  DemandByNode demand;
  const int nodes = *rc::gen::inRange(1, 12);
  for (int node = 0; node < nodes; ++node) {
    demand[NodeId("n" + std::to_string(node))] = *rc::gen::inRange(0, 200);
  }
  return demand;
}

// Reference implementation: allocates the share above the floor in small steps,
// divided equally among the nodes whose demand is not yet met.
std::map<NodeId, double> NaiveSplit(double total,
                                    double floor_fraction,
                                    const DemandByNode& demand) {
  constexpr int kSteps = 20000;
  const auto nodes = static_cast<double>(demand.size());
  std::map<NodeId, double> shares;
  for (const auto& [node, wanted] : demand) {
    shares[node] = total * floor_fraction / nodes;
  }
  const double step = total * (1 - floor_fraction) / kSteps;
  for (int given = 0; given < kSteps; ++given) {
    std::vector<NodeId> unsatisfied;
    for (const auto& [node, wanted] : demand) {
      if (shares[node] < wanted) {
        unsatisfied.push_back(node);
      }
    }
    if (unsatisfied.empty()) {
      for (auto& [node, share] : shares) {
        share += step * (kSteps - given) / nodes;
      }
      return shares;
    }
    for (const NodeId& node : unsatisfied) {
      shares[node] += step / static_cast<double>(unsatisfied.size());
    }
  }
  return shares;
}

TEST_CASE("The shares of all nodes add up to the limit") {
  rc::prop("and each keeps its floor", [] {
    const DemandByNode demand = AnyDemand();
    const double total = *rc::gen::inRange(1, 500);
    double sum = 0;
    for (const auto& [node, wanted] : demand) {
      const double share = SplitQuota(total, 0.2, demand, node);
      const double floor = 0.2 * total / static_cast<double>(demand.size());
      RC_ASSERT(share >= floor - 1e-9);
      sum += share;
    }
    RC_ASSERT(std::abs(sum - total) < 1e-6);
  });
}

TEST_CASE("The split is max-min fair") {
  rc::prop("against a split in small steps", [] {
    const DemandByNode demand = AnyDemand();
    const double total = *rc::gen::inRange(1, 500);
    const std::map<NodeId, double> naive = NaiveSplit(total, 0.2, demand);
    for (const auto& [node, share] : naive) {
      RC_ASSERT(std::abs(SplitQuota(total, 0.2, demand, node) - share) <
                0.01 * total);
    }
  });
}

}  // namespace
}  // namespace kumquatcart
