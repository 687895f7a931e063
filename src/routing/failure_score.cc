#include "routing/failure_score.h"

#include <cmath>
#include <iterator>

namespace kumquatcart {

namespace {

// Half-life of a score: short enough that a server with partial failures is
// tried several times during a fault that lasts some seconds.
constexpr Duration kHalfLife = std::chrono::seconds(2);
// Scores below this are removed.
constexpr double kNegligibleScore = 0.02;

}  // namespace

double FailureScore::Of(const ServerStart& server, MonotonicTime now) const {
  const auto found = this->scores.find(server);
  if (found == this->scores.end()) {
    return 0;
  }
  const double half_lives =
      std::chrono::duration<double>(now - found->second.at) /
      std::chrono::duration<double>(kHalfLife);
  return found->second.value * std::exp2(-half_lives);
}

void FailureScore::NoteFailure(const ServerStart& server, MonotonicTime now) {
  this->scores[server] = Score{this->Of(server, now) + 1, now};
  this->DropNegligible(now);
}

void FailureScore::DropNegligible(MonotonicTime now) {
  for (auto entry = this->scores.begin(); entry != this->scores.end();) {
    entry = this->Of(entry->first, now) < kNegligibleScore
                ? this->scores.erase(entry)
                : std::next(entry);
  }
}

void FailureScore::NoteSuccess(const ServerStart& server, MonotonicTime now) {
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
