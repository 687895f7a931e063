#include "soak/store_calls.h"

#include <algorithm>

namespace kumquatcart::soak {

int StoreCalls::MostWithin(Duration length) const {
  std::ptrdiff_t most = 0;
  auto first = this->times.begin();
  for (auto last = first; last != this->times.end(); ++last) {
    while (*last - *first >= length) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

int StoreCalls::MedianPerSecond() const {
  if (this->times.empty()) {
    return 0;
  }
  std::vector<int> counts;
  for (const MonotonicTime time : this->times) {
    const auto second = static_cast<std::size_t>((time - this->times.front()) /
                                                 std::chrono::seconds(1));
    counts.resize(std::max(counts.size(), second + 1));
    ++counts[second];
  }
  const auto middle =
      counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  return *middle;
}

}  // namespace kumquatcart::soak
