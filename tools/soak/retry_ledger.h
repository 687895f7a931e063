// Repeats that reach the servers of each service, and the times handed on.
#ifndef SOAK_RETRY_LEDGER_H_
#define SOAK_RETRY_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart::soak {

// What the platform allows of repeats of requests at one service.
struct RetryRules {
  double ratio = 0.2;  // Of the requests for the service.
  int base = 100;
  Duration window = std::chrono::seconds(10);
};

// The window that came closest to what is allowed in it, or exceeded it most.
struct FullestWindow {
  int repeats = 0;
  int allowed = 0;

  auto Tie() const { return std::tie(this->repeats, this->allowed); }
};

// The soak's one thread uses it.
class RetryLedger {
 public:
  explicit RetryLedger(RetryRules rules) : rules(rules) {}

  // A caller sent a request on a route to `service`, and waits for `patience`.
  void NoteSent(const std::string& service,
                const std::string& id,
                Duration patience,
                MonotonicTime now);
  // The request reached a server, which may reject it. `time_left`: how long
  // the server may take; negative if it was not told.
  void NoteArrival(const std::string& service,
                   const std::string& id,
                   Duration time_left,
                   MonotonicTime now);

  FullestWindow Fullest() const;
  // Requests that servers were given more time for than was left.
  int GivenTooLong() const { return this->given_too_long; }
  int Judged() const { return this->judged; }

  // Every rule that was broken. Call when no request is in progress.
  std::vector<std::string> Judge() const;

 private:
  struct Request {
    Duration patience;
    MonotonicTime first_arrival;  // Zero: none.
    MonotonicTime first_end;      // By the time left at the first arrival.
  };
  // Ascending.
  struct Service {
    std::vector<MonotonicTime> sent;
    std::vector<MonotonicTime> repeats;
  };

  FullestWindow FullestOf(const Service& service) const;

  const RetryRules rules;
  std::map<std::string, Service> services;
  std::map<std::string, Request> requests;
  int given_too_long = 0;
  int judged = 0;        // Arrivals whose time left was compared.
  int late_repeats = 0;  // That were not given too long.
};

}  // namespace kumquatcart::soak

#endif  // SOAK_RETRY_LEDGER_H_
