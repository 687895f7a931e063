// Decaying score of the recent failures of a backend server.
#ifndef ROUTING_FAILURE_SCORE_H_
#define ROUTING_FAILURE_SCORE_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// A failure adds 1 to the score of a server and a success halves it. The score
// also decays exponentially over time. Not thread safe.
class FailureScore {
 public:
  void NoteFailure(const std::string& server, MonotonicTime now);
  void NoteSuccess(const std::string& server, MonotonicTime now);

  // Score at `now`; 0 without recent failures.
  double Of(const std::string& server, MonotonicTime now) const;

 private:
  struct Score {
    double value = 0;
    MonotonicTime at;
  };

  std::map<std::string, Score> scores;
};

}  // namespace kumquatcart

#endif  // ROUTING_FAILURE_SCORE_H_
