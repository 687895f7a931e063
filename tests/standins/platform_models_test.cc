#include <chrono>

#include <catch2/catch.hpp>

#include "standins/lagged_value.h"
#include "standins/log_model.h"
#include "standins/prefix_cache.h"
#include "standins/weight_store_model.h"

namespace kumquatcart::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const StreamName kStream("s");
const MonotonicTime kStart{};

Result<Offset> AppendAt(LogModel* log, MonotonicTime now) {
  return log->Append(kStream, AppendId("a"), "p", now, 0);
}

TEST_CASE("The log numbers records from one and reads from an offset") {
  LogModel log(LogSettings{}, kStart);
  CHECK(AppendAt(&log, kStart).value() == 1);
  CHECK(AppendAt(&log, kStart).value() == 2);
  CHECK(log.Read(kStream, 2, 10).value().records.size() == 1);
  CHECK(log.Read(kStream, 3, 10).value().records.empty());
  CHECK(log.Read(kStream, 1, 1).value().records.front().offset == 1);
}

TEST_CASE("The log refuses appends beyond its rate") {
  LogSettings settings;
  settings.appends_per_second = 4;
  LogModel log(settings, kStart);
  REQUIRE(AppendAt(&log, kStart).has_value());
  CHECK(AppendAt(&log, kStart).error().code == ErrorCode::kExhausted);
  CHECK(AppendAt(&log, kStart + milliseconds(250)).has_value());
}

TEST_CASE("Expired records are refused and offsets go on") {
  LogModel log(LogSettings{seconds(10), 400}, kStart);
  REQUIRE(AppendAt(&log, kStart).has_value());
  REQUIRE(AppendAt(&log, kStart + seconds(8)).has_value());
  log.ExpireOld(kStart + seconds(12));
  CHECK(log.Read(kStream, 1, 10).error().code == ErrorCode::kExpired);
  CHECK(log.Read(kStream, 2, 10).value().first_retained == 2);
  log.ExpireBelow(kStream, 3);
  CHECK(log.FirstRetained(kStream) == 3);
  CHECK(AppendAt(&log, kStart + seconds(12)).value() == 3);
}

TEST_CASE("A lagged value shows what was true one lag ago") {
  LaggedValue<int> value(seconds(1));
  value.Record(1, kStart);
  value.Record(2, kStart + milliseconds(100));
  value.Record(3, kStart + milliseconds(300));
  CHECK(value.At(kStart + milliseconds(400)) == 1);
  CHECK(value.At(kStart + milliseconds(1100)) == 2);
  value.Freeze(kStart + milliseconds(1200));
  CHECK(value.At(kStart + seconds(5)) == 2);
  value.Thaw();
  CHECK(value.At(kStart + seconds(5)) == 3);
}

TEST_CASE("Weight loads share the rate") {
  WeightStoreModel store(100, kStart);
  store.Start(VmId("a"), 100, kStart);
  store.Start(VmId("b"), 100, kStart);
  CHECK(store.Advance(kStart + seconds(1)).empty());
  store.Cancel(VmId("b"), kStart + seconds(1));
  CHECK(store.Advance(kStart + milliseconds(1400)).empty());
  CHECK(store.Advance(kStart + milliseconds(1500)) ==
        std::vector<VmId>{VmId("a")});
  CHECK(store.Status().active_loads == 0);
}

TEST_CASE("A prefix is cached up to its first missing block") {
  PrefixCache cache(4);
  const std::string shared(PrefixCache::kBlockBytes * 2, 'a');
  const std::string tail(PrefixCache::kBlockBytes, 'b');
  CHECK(cache.Use(shared, kStart) == 0);
  CHECK(cache.Use(shared + tail, kStart) == 2 * PrefixCache::kBlockTokens);
  CHECK(cache.Use(tail + shared, kStart) == 0);
  CHECK(cache.Events(1, kStart).size() == 8);  // Six stored, two evicted.
}

TEST_CASE("Cache events come late and with gaps when told to") {
  PrefixCache cache(4);
  cache.DropEvents(1);
  cache.Use(std::string(PrefixCache::kBlockBytes * 2, 'a'),
            kStart + seconds(1));
  CHECK(cache.Events(1, kStart).empty());
  const auto events = cache.Events(1, kStart + seconds(1));
  REQUIRE(events.size() == 1);
  CHECK(events.front().sequence == 2);
}

}  // namespace
}  // namespace kumquatcart::standins
