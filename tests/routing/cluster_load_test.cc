#include "routing/cluster_load.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("The total is the local load plus the latest report of each node") {
  ClusterLoad load;
  load.Begin("s");
  load.Report("a", {{"s", 3}, {"t", 1}}, kStart);
  load.Report("b", {{"s", 2}}, kStart);
  load.Report("a", {{"s", 1}}, kStart);
  CHECK(load.Total("s") == 4);
  CHECK(load.Total("t") == 0);
  load.End("s");
  CHECK(load.LocalCount("s") == 0);
  CHECK(load.Total("s") == 3);
}

TEST_CASE("Outdated reports are dropped") {
  ClusterLoad load;
  load.Report("a", {{"s", 3}}, kStart);
  load.Report("b", {{"s", 2}}, kStart + std::chrono::seconds(2));
  load.DropReportsBefore(kStart + std::chrono::seconds(1));
  CHECK(load.Total("s") == 2);
}

}  // namespace
}  // namespace kumquatcart
