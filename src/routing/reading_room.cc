#include "routing/reading_room.h"

#include <algorithm>

namespace kumquatcart {

namespace {

// A node uses, and waits for, more than its even part of the groups: the others
// seldom have as much to read at the same moment. At one even part, a calm
// day's callers wait at the entry VM while groups have time.
constexpr double kOwnFactor = 2;

}  // namespace

std::optional<double> ReadingRoom(const EngineSpec& engine,
                                  const ModelSpec& model,
                                  Duration gap_target) {
  if (gap_target <= Duration{0} || engine.prompt_tokens_per_second <= 0 ||
      model.pace <= 0) {
    return std::nullopt;
  }
  using Seconds = std::chrono::duration<double>;
  const Seconds pass =
      engine.stride *
      (Seconds(engine.step) + engine.slots * Seconds(engine.step_per_request));
  const Seconds left = Seconds(gap_target) / model.pace - pass;
  return std::max(0.0, left.count()) * engine.prompt_tokens_per_second;
}

double OwnReadingRoom(double room, int groups, int nodes) {
  return std::max(room, kOwnFactor * room * groups / std::max(1, nodes));
}

Duration ReadingWait(const EngineSpec& engine,
                     const ModelSpec& model,
                     double unread,
                     int groups,
                     int nodes) {
  const double rate = kOwnFactor * engine.prompt_tokens_per_second * groups /
                      (model.pace * std::max(1, nodes));
  return rate <= 0 ? Duration{0}
                   : std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(unread / rate));
}

}  // namespace kumquatcart
