// How much a backend server has failed lately.
#ifndef ROUTING_FAILURE_SCORE_H_
#define ROUTING_FAILURE_SCORE_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace kumquatcart {

// Each failure adds one; the sum halves with time, and a success takes half of
// it away. Not thread safe.
class FailureScore {
 public:
  void NoteFailure(const std::string& server, MonotonicTime now);
  void NoteSuccess(const std::string& server, MonotonicTime now);

  // 0: no failure for long.
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
