#include "base/metrics.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

TEST_CASE("Metrics are written as Prometheus text") {
  MetricRegistry registry;
  registry.GetCounter("kumquatcart_requests_total", {{"outcome", "completed"}})
      .Add(3);
  registry.GetHistogram("kumquatcart_latency_seconds")
      .Record(std::chrono::milliseconds(20));
  const std::string text = registry.Serialize();
  REQUIRE(text.find("kumquatcart_requests_total{outcome=\"completed\"} 3") !=
          std::string::npos);
  REQUIRE(text.find("kumquatcart_latency_seconds_count 1") !=
          std::string::npos);
}

TEST_CASE("A latency quantile lies within one bucket of the recorded value") {
  LatencyHistogram histogram;
  for (int millis = 1; millis <= 100; ++millis) {
    histogram.Record(std::chrono::milliseconds(millis));
  }
  REQUIRE(histogram.QuantileSeconds(0.5) == Approx(0.050).epsilon(0.13));
  REQUIRE(histogram.QuantileSeconds(0.99) == Approx(0.099).epsilon(0.13));
}

}  // namespace
}  // namespace kumquatcart
