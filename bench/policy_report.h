// Values collected by an experiment and the rows it prints.
#ifndef BENCH_POLICY_REPORT_H_
#define BENCH_POLICY_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kumquatcart {

// Milliseconds of `duration`, with fractions.
double ToMs(Duration duration);

// A duration drawn from the exponential distribution of that mean.
Duration DrawExponential(std::mt19937_64* random, double mean_seconds);

// Values collected over one run.
class Sample {
 public:
  void Add(double value) { this->values.push_back(value); }

  // The value at `quantile` from 0 to 1; 0 when empty.
  double Quantile(double quantile);

  double Mean() const;
  std::size_t Count() const { return this->values.size(); }

 private:
  std::vector<double> values;
};

// Prints one CSV row: experiment, variant, measure, value.
void PrintRow(const std::string& experiment,
              const std::string& variant,
              const std::string& measure,
              double value);

// The experiments; each prints its rows for both variants on the same seed.
void CompareChoice(std::uint64_t seed);
void CompareFairness(std::uint64_t seed);
void CompareRetries(std::uint64_t seed);

}  // namespace kumquatcart

#endif  // BENCH_POLICY_REPORT_H_
