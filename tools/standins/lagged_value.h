// A value that is seen some time after it changed.
#ifndef STANDINS_LAGGED_VALUE_H_
#define STANDINS_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "base/clock.h"

namespace kumquatcart::standins {

// Not thread safe.
template <class T>
class LaggedValue {
 public:
  explicit LaggedValue(Duration lag) : lag(lag) {}

  // Records the truth as of `now`.
  void Record(T truth, MonotonicTime now) {
    this->Forget(now);
    this->versions.push_back(Version{now, std::move(truth)});
  }

  // The truth as it was one lag before `now`, or before the freeze. The first
  // recorded value shows at once.
  const T& At(MonotonicTime now) {
    static const T nothing{};
    this->Forget(now);
    return this->versions.empty() ? nothing : this->versions.front().value;
  }

  // Keeps showing what is shown at `now` until Thaw.
  void Freeze(MonotonicTime now) {
    this->Forget(now);
    this->frozen = true;
  }
  void Thaw() { this->frozen = false; }

 private:
  struct Version {
    MonotonicTime since;
    T value;
  };

  void Forget(MonotonicTime now) {
    while (!this->frozen && this->versions.size() > 1 &&
           this->versions[1].since + this->lag <= now) {
      this->versions.pop_front();
    }
  }

  const Duration lag;
  std::deque<Version> versions;
  bool frozen = false;
};

}  // namespace kumquatcart::standins

#endif  // STANDINS_LAGGED_VALUE_H_
