// Admission that never waits or refuses.
#ifndef FAKES_ADMIT_ALL_H_
#define FAKES_ADMIT_ALL_H_

#include <atomic>

#include "routing/admission.h"

namespace kumquatcart {

// Admits every request at once, or refuses every one, and counts. Thread safe.
class AdmitAll : public Admission {
 public:
  void Submit(const AdmissionRequest&, DecisionCallback decide) override {
    ++this->submitted;
    if (this->refuse) {
      decide(MakeError(ErrorCode::kExhausted, "no room"));
      return;
    }
    decide(Ok());
  }
  void Complete(const AdmissionRequest&, double) override { ++this->completed; }
  void CancelWaiting(const RequestId&) override {}

  std::atomic<bool> refuse{false};
  std::atomic<int> submitted{0};
  std::atomic<int> completed{0};
};

}  // namespace kumquatcart

#endif  // FAKES_ADMIT_ALL_H_
