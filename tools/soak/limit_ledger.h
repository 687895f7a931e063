// Requests that servers with a rate limit received, compared with the limit.
#ifndef SOAK_LIMIT_LEDGER_H_
#define SOAK_LIMIT_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace kumquatcart::soak {

// Counts the requests of those entry VMs that had received the limit from the
// server itself and were not disturbed. The soak's one thread uses it.
class LimitLedger {
 public:
  // The server names `per_second` in its answers from `now` on, until
  // NoteEnd().
  void NoteLimit(const std::string& server,
                 double per_second,
                 MonotonicTime now);
  void NoteEnd(const std::string& server, MonotonicTime now);

  // The server received a request that came through `entry`.
  void NoteRequest(const std::string& server,
                   const std::string& entry,
                   MonotonicTime now);
  // The server sent an answer that names its limit through `entry`.
  void NoteAnswer(const std::string& server,
                  const std::string& entry,
                  MonotonicTime now);
  // A signal to the process of `entry`, or its start. Its limits count as
  // unknown from then on.
  void NoteDisturbance(const std::string& entry, MonotonicTime now);

  // Every limit that was exceeded. `now`: the end of the limits still named.
  std::vector<std::string> Judge(MonotonicTime now) const;

 private:
  struct Request {
    MonotonicTime at;
    std::string entry;
    bool knows_limit = false;
  };
  struct Period {
    std::string server;
    double per_second = 0;
    MonotonicTime begin;
    MonotonicTime end = MonotonicTime::max();
    std::vector<Request> requests;
    std::map<std::string, MonotonicTime> answered_at;  // First, by entry VM.
  };

  Period* FindOpen(const std::string& server);
  bool IsDisturbed(const std::string& entry,
                   MonotonicTime from,
                   MonotonicTime until) const;

  std::vector<Period> periods;
  std::map<std::string, std::vector<MonotonicTime>> disturbances;
};

}  // namespace kumquatcart::soak

#endif  // SOAK_LIMIT_LEDGER_H_
