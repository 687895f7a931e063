#include "routing/wait_forecast.h"

#include <algorithm>

#include "base/expiring_times.h"

namespace kumquatcart {

namespace {

// Span over which places that became free are counted: about as long as a
// generation takes.
constexpr Duration kSpan = std::chrono::seconds(2);
// Least and largest Retry-After: a refused caller's way back, and a third of
// the patience that callers usually have.
constexpr Duration kShortestReturn = std::chrono::milliseconds(100);
constexpr Duration kLongestReturn = std::chrono::milliseconds(2500);

}  // namespace

void WaitForecast::NoteRelease(const std::string& model, MonotonicTime now) {
  std::deque<MonotonicTime>& times = this->releases[model];
  times.push_back(now);
  DropBefore(&times, now - kSpan);
}

Duration WaitForecast::Expect(const std::string& model,
                              int ahead,
                              MonotonicTime now) {
  std::deque<MonotonicTime>& times = this->releases[model];
  DropBefore(&times, now - kSpan);
  return times.empty() ? kSpan
                       : kSpan * (ahead + 1) / static_cast<int>(times.size());
}

Duration SpreadReturn(Duration expected, double draw) {
  return std::clamp(std::chrono::duration_cast<Duration>(expected * (1 + draw)),
                    kShortestReturn, kLongestReturn);
}

}  // namespace kumquatcart
