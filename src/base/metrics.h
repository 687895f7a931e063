// Counters, gauges and histograms, exported in the Prometheus text format.
#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart {

// Name and value of one dimension of a metric. The order of a metric's labels
// is significant: metrics with differently ordered labels are distinct.
struct MetricLabel {
  std::string name;
  std::string value;

  auto Tie() const { return std::tie(this->name, this->value); }
};
using MetricLabels = std::vector<MetricLabel>;

// A monotonically increasing count. Thread safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    this->count.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const {
    return this->count.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> count{0};
};

// A value that can increase and decrease. Thread safe.
class Gauge {
 public:
  void Set(double value) {
    this->current.store(value, std::memory_order_relaxed);
  }
  double Value() const { return this->current.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> current{0.0};
};

// Distribution of durations in logarithmic buckets from 10 microseconds to 100
// seconds. Thread safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(Duration duration);

  // Returns the upper bound in seconds of the bucket that contains `quantile`
  // (0 to 1), or 0 if the histogram is empty.
  double QuantileSeconds(double quantile) const;
  std::uint64_t Count() const;

  // Upper bound in seconds and cumulative count of a bucket, as required by the
  // Prometheus format.
  struct Bucket {
    double upper_bound_seconds = 0;
    std::uint64_t cumulative_count = 0;
  };
  std::vector<Bucket> Buckets() const;
  double SumSeconds() const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage;
};

// Owns the metrics of one process. Returned references stay valid for the
// lifetime of the registry. Thread safe.
class MetricRegistry {
 public:
  MetricRegistry();
  ~MetricRegistry();

  // Returns the metric with this name and these labels and creates it on first
  // use. Names are snake_case and begin with `kumquatcart_`.
  Counter& GetCounter(const std::string& name, const MetricLabels& labels = {});
  Gauge& GetGauge(const std::string& name, const MetricLabels& labels = {});
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const MetricLabels& labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string Serialize() const;

 private:
  using Key = std::pair<std::string, MetricLabels>;

  // Guards the maps only; leaf in the lock order.
  mutable std::mutex mutex;
  std::map<Key, std::unique_ptr<Counter>> counters;
  std::map<Key, std::unique_ptr<Gauge>> gauges;
  std::map<Key, std::unique_ptr<LatencyHistogram>> histograms;
};

}  // namespace kumquatcart

#endif  // BASE_METRICS_H_
