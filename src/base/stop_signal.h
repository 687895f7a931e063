// Waits for the operating system's request to stop.
#ifndef BASE_STOP_SIGNAL_H_
#define BASE_STOP_SIGNAL_H_

#include <csignal>

namespace kumquatcart {

// Catches SIGTERM and SIGINT while it lives and restores the former handling
// afterwards. At most one object at a time; not thread safe.
class StopSignal {
 public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  // Blocks until one of the signals has come. Returns its number.
  int Wait();

 private:
  struct sigaction previous_term {};
  struct sigaction previous_int {};
};

}  // namespace kumquatcart

#endif  // BASE_STOP_SIGNAL_H_
