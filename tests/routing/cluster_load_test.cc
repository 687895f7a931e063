#include "routing/cluster_load.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};
const MonotonicTime kExpiry = kStart + std::chrono::seconds(1);
const MonotonicTime kLaterExpiry = kStart + std::chrono::seconds(3);

TEST_CASE("The total is the local load plus the latest report of each node") {
  ClusterLoad load;
  load.Begin("s");
  load.Report("a", "zone", {{"s", 3}, {"t", 1}}, kExpiry);
  load.Report("b", "zone", {{"s", 2}}, kExpiry);
  load.Report("a", "zone", {{"s", 1}}, kExpiry);
  CHECK(load.Total("s") == 4);
  CHECK(load.Total("t") == 0);
  load.End("s");
  CHECK(load.LocalCount("s") == 0);
  CHECK(load.Total("s") == 3);
}

TEST_CASE("Outdated reports are dropped") {
  ClusterLoad load;
  load.Report("a", "zone", {{"s", 3}}, kExpiry);
  load.Report("b", "zone", {{"s", 2}}, kLaterExpiry);
  load.DropExpired(kExpiry);
  CHECK(load.Total("s") == 5);
  load.DropExpired(kExpiry + std::chrono::milliseconds(1));
  CHECK(load.Total("s") == 2);
}

TEST_CASE("The sum of a failure domain replaces the reports of its nodes") {
  ClusterLoad load;
  load.Report("a", "near", {{"s", 1}}, kLaterExpiry);
  load.Report("b", "near", {{"s", 1}}, kLaterExpiry);
  load.Report("c", "far", {{"s", 10}}, kLaterExpiry);
  load.ReportDomain("near", {{"s", 5}}, false, kStart, kExpiry, kStart);
  CHECK(load.Total("s") == 15);
  // Reports of its nodes are remembered, but do not count.
  load.Report("a", "near", {{"s", 2}}, kLaterExpiry);
  CHECK(load.Total("s") == 15);
  // A sum that was made earlier arrives later.
  load.ReportDomain("near", {{"s", 9}}, false,
                    kStart - std::chrono::milliseconds(1), kExpiry, kStart);
  CHECK(load.Total("s") == 15);
  load.DropExpired(kLaterExpiry);
  CHECK(load.Total("s") == 13);
  // A peer returns the expired sum.
  load.ReportDomain("near", {{"s", 5}}, false, kStart, kExpiry, kLaterExpiry);
  CHECK(load.Total("s") == 13);
}

TEST_CASE("Own requests in the sum of the own failure domain count once") {
  ClusterLoad load;
  load.Begin("s");
  load.Begin("s");
  load.MarkReported();
  load.Begin("s");
  load.ReportDomain("near", {{"s", 6}}, true, kStart, kExpiry, kStart);
  CHECK(load.Total("s") == 3 + 4);
  load.End("s");
  load.End("s");
  load.End("s");
  CHECK(load.Total("s") == 4);
}

TEST_CASE("The sum of all nodes replaces every other report while it lasts") {
  ClusterLoad load;
  load.Begin("s");
  load.MarkReported();
  load.Report("a", "near", {{"s", 2}}, kLaterExpiry);
  load.ReportDomain("far", {{"s", 10}}, false, kStart, kLaterExpiry, kStart);
  CHECK(load.SumWithReports() == InFlightCounts{{"s", 13}});
  load.ReportCluster({{"s", 6}, {"t", 1}}, kStart, kExpiry);
  CHECK(load.Total("s") == 6);
  CHECK(load.Total("t") == 1);
  load.Begin("s");
  CHECK(load.Total("s") == 7);
  // Of two collectors, the later sum counts.
  load.ReportCluster({{"s", 20}}, kStart, kExpiry);
  CHECK(load.Total("s") == 7);
  load.DropExpired(kExpiry + std::chrono::milliseconds(1));
  CHECK_FALSE(load.HasClusterReport());
  CHECK(load.Total("s") == 14);
}

TEST_CASE("A collector sums its own requests and those of its domain") {
  ClusterLoad load;
  load.Begin("s");
  load.Report("a", "near", {{"s", 2}, {"t", 1}}, kExpiry);
  load.Report("c", "far", {{"s", 10}}, kExpiry);
  CHECK(load.SumWithNodesOf("near") == InFlightCounts{{"s", 3}, {"t", 1}});
}

}  // namespace
}  // namespace kumquatcart
