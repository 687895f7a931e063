#include "routing/first_event_times.h"

#include <algorithm>
#include <vector>

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxTimes = 40;
constexpr std::size_t kMinTimes = 5;
constexpr double kTypicalQuantile = 0.8;
// Fractions of the latency target.
constexpr double kMaxQueueFraction = 0.4;
constexpr double kMinQueueFraction = 0.15;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

void FirstEventTimes::Record(const std::string& model, Duration time) {
  std::deque<Duration>& recent = this->times[model];
  recent.push_back(time);
  if (recent.size() > kMaxTimes) {
    recent.pop_front();
  }
}

std::optional<Duration> FirstEventTimes::Typical(
    const std::string& model) const {
  const auto found = this->times.find(model);
  if (found == this->times.end() || found->second.size() < kMinTimes) {
    return std::nullopt;
  }
  std::vector<Duration> sorted(found->second.begin(), found->second.end());
  const auto rank = static_cast<std::ptrdiff_t>(
      kTypicalQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<std::size_t>(rank)];
}

Duration MaxQueueTime(Duration target, std::optional<Duration> typical) {
  const Duration longest = Scale(target, kMaxQueueFraction);
  return typical ? std::clamp(target - *typical,
                              Scale(target, kMinQueueFraction), longest)
                 : longest;
}

}  // namespace kumquatcart
