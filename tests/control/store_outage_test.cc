// Tests entries dropped around an outage of the store.
#include "control/store_outage.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE("A dropped entry is removed at once while the store is up") {
  StoreOutage outage;
  CHECK(outage.EffectiveRemovalTime(kStart) == kStart);
  outage.SetStoreDown(false, kStart);
  CHECK(outage.EffectiveRemovalTime(kStart) == kStart);
}

TEST_CASE("Removal of entries dropped in an outage is delayed") {
  StoreOutage outage;
  outage.SetStoreDown(true, kStart);
  CHECK(outage.EffectiveRemovalTime(kStart) >=
        kStart + std::chrono::seconds(2));
  const MonotonicTime back = kStart + std::chrono::seconds(5);
  outage.SetStoreDown(false, back);
  CHECK(outage.EffectiveRemovalTime(back) >= back + std::chrono::seconds(2));
  const MonotonicTime later = back + std::chrono::seconds(4);
  CHECK(outage.EffectiveRemovalTime(later) == later);
}

}  // namespace
}  // namespace kumquatcart
