// Decaying score of the recent failures of a backend server.
#ifndef ROUTING_FAILURE_SCORE_H_
#define ROUTING_FAILURE_SCORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "base/comparable.h"

namespace kumquatcart {

// One start of a server, which may start again under the same id.
struct ServerStart {
  std::string id;
  std::int64_t started_ms = 0;  // Unix time; 0 where not given.

  auto Tie() const { return std::tie(this->id, this->started_ms); }
};

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
