// Waiting for a termination signal.
#ifndef BASE_STOP_SIGNAL_H_
#define BASE_STOP_SIGNAL_H_

#include <csignal>

namespace kumquatcart {

// Handles SIGTERM and SIGINT during its lifetime and restores the previous
// handlers on destruction. At most one instance may exist at a time. Not thread
// safe.
class StopSignal {
 public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  // Blocks until one of the signals arrives. Returns the signal number.
  int Wait();

 private:
  struct sigaction previous_term {};
  struct sigaction previous_int {};
};

}  // namespace kumquatcart

#endif  // BASE_STOP_SIGNAL_H_
