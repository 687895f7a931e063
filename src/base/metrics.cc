#include "base/metrics.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <boost/histogram.hpp>

namespace kumquatcart {

namespace {

constexpr unsigned kBucketCount = 140;
constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;

namespace histogram = boost::histogram;
using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyStore = decltype(histogram::make_histogram(
    LogAxis(kBucketCount, kLowestSeconds, kHighestSeconds)));

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddLabels(const MetricLabels& labels, prometheus::ClientMetric* metric) {
  for (const MetricLabel& label : labels) {
    metric->label.push_back({label.name, label.value});
  }
}

// Appends `metric` to the family `name`, creating the family if needed.
// Precondition: if the family exists, it is the last one in `families`.
void AppendMetric(const std::string& name,
                  prometheus::MetricType type,
                  prometheus::ClientMetric metric,
                  std::vector<prometheus::MetricFamily>* families) {
  if (families->empty() || families->back().name != name) {
    prometheus::MetricFamily family;
    family.name = name;
    family.type = type;
    families->push_back(std::move(family));
  }
  families->back().metric.push_back(std::move(metric));
}

template <class Map, class Key>
auto& FindOrCreate(Map& map, const Key& key) {
  auto& slot = map[key];
  if (!slot) {
    slot = std::make_unique<typename Map::mapped_type::element_type>();
  }
  return *slot;
}

}  // namespace

struct LatencyHistogram::Storage {
  mutable std::mutex mutex;
  LatencyStore counts = histogram::make_histogram(
      LogAxis(kBucketCount, kLowestSeconds, kHighestSeconds));
  std::uint64_t total = 0;
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : storage(std::make_unique<Storage>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration duration) {
  const double seconds = ToSeconds(duration);
  const std::lock_guard<std::mutex> lock(this->storage->mutex);
  this->storage->counts(std::max(seconds, kLowestSeconds));
  this->storage->total += 1;
  this->storage->sum_seconds += seconds;
}

double LatencyHistogram::QuantileSeconds(double quantile) const {
  const std::vector<Bucket> buckets = this->Buckets();
  const std::uint64_t count = this->Count();
  if (count == 0) {
    return 0;
  }
  const double rank = quantile * static_cast<double>(count);
  for (const Bucket& bucket : buckets) {
    if (static_cast<double>(bucket.cumulative_count) >= rank) {
      return bucket.upper_bound_seconds;
    }
  }
  return kHighestSeconds;
}

std::uint64_t LatencyHistogram::Count() const {
  const std::lock_guard<std::mutex> lock(this->storage->mutex);
  return this->storage->total;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  const std::lock_guard<std::mutex> lock(this->storage->mutex);
  std::vector<Bucket> buckets;
  buckets.reserve(kBucketCount);
  std::uint64_t cumulative = 0;
  for (auto&& bin : histogram::indexed(this->storage->counts)) {
    cumulative += static_cast<std::uint64_t>(*bin);
    buckets.push_back({bin.bin().upper(), cumulative});
  }
  return buckets;
}

double LatencyHistogram::SumSeconds() const {
  const std::lock_guard<std::mutex> lock(this->storage->mutex);
  return this->storage->sum_seconds;
}

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

Counter& MetricRegistry::GetCounter(const std::string& name,
                                    const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return FindOrCreate(this->counters, Key(name, labels));
}

Gauge& MetricRegistry::GetGauge(const std::string& name,
                                const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return FindOrCreate(this->gauges, Key(name, labels));
}

LatencyHistogram& MetricRegistry::GetHistogram(const std::string& name,
                                               const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return FindOrCreate(this->histograms, Key(name, labels));
}

std::string MetricRegistry::Serialize() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [key, counter] : this->counters) {
    prometheus::ClientMetric metric;
    AddLabels(key.second, &metric);
    metric.counter.value = static_cast<double>(counter->Value());
    AppendMetric(key.first, prometheus::MetricType::Counter, std::move(metric),
                 &families);
  }
  for (const auto& [key, gauge] : this->gauges) {
    prometheus::ClientMetric metric;
    AddLabels(key.second, &metric);
    metric.gauge.value = gauge->Value();
    AppendMetric(key.first, prometheus::MetricType::Gauge, std::move(metric),
                 &families);
  }
  for (const auto& [key, latency] : this->histograms) {
    prometheus::ClientMetric metric;
    AddLabels(key.second, &metric);
    metric.histogram.sample_count = latency->Count();
    metric.histogram.sample_sum = latency->SumSeconds();
    for (const LatencyHistogram::Bucket& bucket : latency->Buckets()) {
      metric.histogram.bucket.push_back(
          {bucket.cumulative_count, bucket.upper_bound_seconds});
    }
    AppendMetric(key.first, prometheus::MetricType::Histogram,
                 std::move(metric), &families);
  }
  std::ostringstream out;
  const prometheus::TextSerializer serializer;
  serializer.Serialize(out, families);
  return out.str();
}

}  // namespace kumquatcart
