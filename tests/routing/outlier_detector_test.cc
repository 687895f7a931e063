#include "routing/outlier_detector.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

BackendStats MakeStats(int index, double failure_rate, double latency) {
  return {BackendId("b" + std::to_string(index)), 20, failure_rate, latency};
}

TEST_CASE("Ejection never empties a pool") {
  rc::prop("at most the allowed fraction and no healthy server", [] {
    std::vector<BackendStats> pool;
    const int size = *rc::gen::inRange(0, 30);
    for (int index = 0; index < size; ++index) {
      pool.push_back(MakeStats(index, *rc::gen::inRange(0, 101) / 100.0,
                               *rc::gen::inRange(0, 1000) / 100.0));
    }
    const OutlierPolicy policy;
    const std::set<BackendId> ejected = FindOutliers(pool, policy);
    RC_ASSERT(static_cast<double>(ejected.size()) <= 0.3 * size);
    for (const BackendStats& stats : pool) {
      const bool healthy =
          stats.failure_rate < 0.3 && stats.latency_seconds == 0;
      RC_ASSERT(!healthy || ejected.count(stats.id) == 0);
    }
  });
}

TEST_CASE("A failing and a slow backend server are outliers") {
  std::vector<BackendStats> pool;
  for (int index = 0; index < 8; ++index) {
    pool.push_back(MakeStats(index, 0.02, 0.1));
  }
  pool.push_back(MakeStats(8, 0.9, 0.1));
  pool.push_back(MakeStats(9, 0.02, 2.0));
  const std::set<BackendId> expected = {BackendId("b8"), BackendId("b9")};
  REQUIRE(FindOutliers(pool, {}) == expected);
}

TEST_CASE("A failure common to the whole pool ejects no backend server") {
  std::vector<BackendStats> pool;
  for (int index = 0; index < 10; ++index) {
    pool.push_back(MakeStats(index, 0.8, 0.1));
  }
  REQUIRE(FindOutliers(pool, {}).empty());
}

}  // namespace
}  // namespace kumquatcart
