#include "routing/slot_wait_estimator.h"

#include <algorithm>

#include "routing/expiring_times.h"

namespace kumquatcart {

namespace {

// Window over which released slots are counted: about the duration of one
// generation.
constexpr Duration kReleaseWindow = std::chrono::seconds(2);
// Limits of Retry-After: the time that a refused caller needs to come back, and
// a third of the time that callers usually wait.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(2500);

}  // namespace

void SlotWaitEstimator::RecordRelease(const std::string& model,
                                      MonotonicTime now) {
  std::deque<MonotonicTime>& times = this->releases[model];
  times.push_back(now);
  DropBefore(&times, now - kReleaseWindow);
}

Duration SlotWaitEstimator::EstimateWait(const std::string& model,
                                         int ahead,
                                         MonotonicTime now) {
  std::deque<MonotonicTime>& times = this->releases[model];
  DropBefore(&times, now - kReleaseWindow);
  return times.empty()
             ? kReleaseWindow
             : kReleaseWindow * (ahead + 1) / static_cast<int>(times.size());
}

Duration JitteredRetryAfter(Duration expected, double draw) {
  return std::clamp(std::chrono::duration_cast<Duration>(expected * (1 + draw)),
                    kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace kumquatcart
