// Requests that servers received from entry VMs that they had told to wait.
#ifndef SOAK_BACKOFF_LEDGER_H_
#define SOAK_BACKOFF_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// A rejection with a Retry-After binds the entry VM that received it. Counts
// what reaches the server from that VM until then. The soak's one thread uses
// it.
class BackoffLedger {
 public:
  // The server answered a request that came through `entry` with a Retry-After
  // of `wait`.
  void NoteRejection(const std::string& server,
                     const std::string& entry,
                     Duration wait,
                     MonotonicTime now);
  // The server received a request that came through `entry`.
  void NoteRequest(const std::string& server,
                   const std::string& entry,
                   MonotonicTime now);
  // A signal to the process of `entry`, or its start.
  void NoteDisturbance(const std::string& entry, MonotonicTime now);
  // The link of `server` is harmed, or is sound again.
  void NoteLinkChange(const std::string& server, MonotonicTime now);

  int Rejections() const { return static_cast<int>(this->rejections.size()); }

  // Every server and entry VM with a wait that was not kept.
  std::vector<std::string> Judge() const;

 private:
  struct Rejection {
    std::string server;
    std::string entry;
    MonotonicTime at;
    MonotonicTime until;
  };
  using Times = std::vector<MonotonicTime>;

  // Whether one of the times lies within the wait, or so shortly before it that
  // the answer may not have arrived.
  static bool IsDisturbed(const std::map<std::string, Times>& disturbances,
                          const std::string& name,
                          const Rejection& rejection);

  std::vector<Rejection> rejections;
  std::map<std::pair<std::string, std::string>, Times> requests;
  std::map<std::string, Times> entry_disturbances;
  std::map<std::string, Times> link_changes;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_BACKOFF_LEDGER_H_
