// Decaying score of the recent failures of a backend server.
#ifndef ROUTING_FAILURE_SCORE_H_
#define ROUTING_FAILURE_SCORE_H_

#include <map>

#include "base/clock.h"
#include "routing/server_start.h"

namespace kumquatcart {

// A failure adds 1 to the score of a server's start and a success halves it.
// The score also decays exponentially over time. Not thread safe.
class FailureScore {
 public:
  void NoteFailure(const ServerStart& server, MonotonicTime now);
  void NoteSuccess(const ServerStart& server, MonotonicTime now);

  // Score at `now`; 0 without recent failures.
  double Of(const ServerStart& server, MonotonicTime now) const;

 private:
  // Scores that have decayed are mostly of servers that are gone.
  void DropNegligible(MonotonicTime now);

  struct Score {
    double value = 0;
    MonotonicTime at;
  };

  std::map<ServerStart, Score> scores;
};

}  // namespace kumquatcart

#endif  // ROUTING_FAILURE_SCORE_H_
