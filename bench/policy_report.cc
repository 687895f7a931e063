#include "policy_report.h"

#include <algorithm>
#include <chrono>
#include <iostream>

#include <fmt/format.h>

namespace kumquatcart {

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration DrawExponential(std::mt19937_64* random, double mean_seconds) {
  std::exponential_distribution<double> distribution(1 / mean_seconds);
  const std::chrono::duration<double> drawn(distribution(*random));
  return std::chrono::duration_cast<Duration>(drawn);
}

double Sample::Quantile(double quantile) {
  if (this->values.empty()) {
    return 0;
  }
  std::sort(this->values.begin(), this->values.end());
  const auto last = static_cast<double>(this->values.size() - 1);
  return this->values[static_cast<std::size_t>(quantile * last)];
}

double Sample::Mean() const {
  double sum = 0;
  for (const double value : this->values) {
    sum += value;
  }
  return this->values.empty() ? 0
                              : sum / static_cast<double>(this->values.size());
}

void PrintRow(const std::string& experiment,
              const std::string& variant,
              const std::string& measure,
              double value) {
  std::cout << fmt::format("{},{},{},{:.3f}\n", experiment, variant, measure,
                           value);
}

}  // namespace kumquatcart
