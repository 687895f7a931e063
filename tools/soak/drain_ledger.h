// Requests at servers that had reported that they leave.
#ifndef SOAK_DRAIN_LEDGER_H_
#define SOAK_DRAIN_LEDGER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// The soak's one thread uses it.
class DrainLedger {
 public:
  // The store has the server's report from `now` on, if it has not already.
  void NoteReport(const std::string& server, MonotonicTime now) {
    this->held_since.emplace(server, now);
  }
  // The store lost it.
  void NoteLoss(const std::string& server) { this->held_since.erase(server); }

  // A process of `entry` starts, with no report received.
  void NoteStart(const std::string& entry);
  // The process of `entry`, its path and the store have been undisturbed since
  // `since`. From then on it counts as having every report that the store has
  // held for as long.
  void NoteInTouch(const std::string& entry, MonotonicTime since);

  // The server got a request through `entry`; accused if that process has its
  // report.
  void NoteRequest(const std::string& server,
                   const std::string& entry,
                   const std::string& request_id,
                   MonotonicTime now);

  std::vector<std::string> Judge() const { return this->accusations; }

 private:
  std::map<std::string, MonotonicTime> held_since;  // By server.
  // Since when entry VMs have the reports of servers.
  std::map<std::pair<std::string, std::string>, MonotonicTime> received;
  std::vector<std::string> accusations;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_DRAIN_LEDGER_H_
