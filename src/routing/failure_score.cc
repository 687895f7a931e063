#include "routing/failure_score.h"

#include <cmath>

namespace kumquatcart {

namespace {

// Half-life of a score: short enough that a server with partial failures is
// tried several times during a fault that lasts some seconds.
constexpr Duration kHalfLife = std::chrono::seconds(2);
// Scores below this are removed.
constexpr double kNegligibleScore = 0.02;

}  // namespace

double FailureScore::Of(const std::string& server, MonotonicTime now) const {
  const auto found = this->scores.find(server);
  if (found == this->scores.end()) {
    return 0;
  }
  const double half_lives =
      std::chrono::duration<double>(now - found->second.at) /
      std::chrono::duration<double>(kHalfLife);
  return found->second.value * std::exp2(-half_lives);
}

void FailureScore::NoteFailure(const std::string& server, MonotonicTime now) {
  this->scores[server] = Score{this->Of(server, now) + 1, now};
}

void FailureScore::NoteSuccess(const std::string& server, MonotonicTime now) {
  const auto found = this->scores.find(server);
  if (found == this->scores.end()) {
    return;
  }
  const double value = this->Of(server, now) / 2;
  if (value < kNegligibleScore) {
    this->scores.erase(found);
  } else {
    found->second = Score{value, now};
  }
}

}  // namespace kumquatcart
