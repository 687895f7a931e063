// Runs a function at the end of a scope.
#ifndef BASE_SCOPE_GUARD_H_
#define BASE_SCOPE_GUARD_H_

#include <utility>

namespace kumquatcart {

// Calls `action` on destruction unless dismissed. Not thread safe.
template <class Action>
class ScopeGuard {
 public:
  explicit ScopeGuard(Action action) : action(std::move(action)) {}
  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;
  ~ScopeGuard() {
    if (this->armed) {
      this->action();
    }
  }

  // Prevents the action from running.
  void Dismiss() { this->armed = false; }

 private:
  Action action;
  bool armed = true;
};

}  // namespace kumquatcart

#endif  // BASE_SCOPE_GUARD_H_
