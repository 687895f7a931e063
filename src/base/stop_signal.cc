#include "base/stop_signal.h"

#include <unistd.h>

#include <array>
#include <cerrno>

#include "base/soft_assert.h"

namespace kumquatcart {

namespace {

// Read and write end of a self-pipe; write() is async-signal-safe.
std::array<int, 2> signal_pipe = {-1, -1};

void HandleSignal(int number) {
  const int saved_errno = errno;
  const auto byte = static_cast<unsigned char>(number);
  // Errors can be ignored: a full pipe already contains a signal.
  [[maybe_unused]] const ssize_t written = write(signal_pipe[1], &byte, 1);
  errno = saved_errno;
}

}  // namespace

StopSignal::StopSignal() {
  KC_CHECK_SOFT(pipe(signal_pipe.data()) == 0);
  struct sigaction action {};
  action.sa_handler = HandleSignal;
  sigemptyset(&action.sa_mask);
  sigaction(SIGTERM, &action, &this->previous_term);
  sigaction(SIGINT, &action, &this->previous_int);
}

StopSignal::~StopSignal() {
  sigaction(SIGTERM, &this->previous_term, nullptr);
  sigaction(SIGINT, &this->previous_int, nullptr);
  close(signal_pipe[0]);
  close(signal_pipe[1]);
}

int StopSignal::Wait() {
  unsigned char byte = 0;
  ssize_t received = 0;
  do {
    received = read(signal_pipe[0], &byte, 1);
  } while (received < 0 && errno == EINTR);
  return byte;
}

}  // namespace kumquatcart
