#include "control/return_estimator.h"

#include <algorithm>
#include <vector>

namespace kumquatcart {

namespace {

constexpr std::size_t kMaxAbsences = 64;

// Minimum number of past absences for an estimate.
constexpr std::size_t kMinAbsences = 5;

}  // namespace

void ReturnEstimator::Observe(const std::set<VmId>& lost,
                              const std::set<VmId>& claimed,
                              MonotonicTime now) {
  for (const VmId& vm : lost) {
    this->lost_since.emplace(vm, now);
  }
  for (auto entry = this->lost_since.begin();
       entry != this->lost_since.end();) {
    if (lost.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    this->absences.push_back(
        Absence{now - entry->second, claimed.count(entry->first) > 0});
    if (this->absences.size() > kMaxAbsences) {
      this->absences.pop_front();
    }
    entry = this->lost_since.erase(entry);
  }
}

std::map<VmId, ExpectedReturn> ReturnEstimator::EstimateReturns(
    MonotonicTime now) const {
  std::map<VmId, ExpectedReturn> expected;
  for (const auto& [vm, since] : this->lost_since) {
    const Duration away = now - since;
    std::vector<Absence> longer;
    std::copy_if(this->absences.begin(), this->absences.end(),
                 std::back_inserter(longer),
                 [&](const Absence& absence) { return absence.length > away; });
    if (longer.size() < kMinAbsences) {
      continue;
    }
    const auto middle = longer.begin() + longer.size() / 2;
    std::nth_element(longer.begin(), middle, longer.end(),
                     [](const Absence& left, const Absence& right) {
                       return left.length < right.length;
                     });
    const auto kept = std::count_if(
        longer.begin(), longer.end(),
        [](const Absence& absence) { return absence.kept_weights; });
    expected[vm] =
        ExpectedReturn{since + middle->length,
                       static_cast<std::size_t>(kept) * 2 > longer.size()};
  }
  return expected;
}

}  // namespace kumquatcart
