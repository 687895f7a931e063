#include "base/progress_pacer.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A round that advances is followed by the next one immediately") {
  ProgressPacer pacer(milliseconds(200), milliseconds(3000));
  REQUIRE(pacer.NextPause(true) == Duration::zero());
  REQUIRE(pacer.NextPause(false) > Duration::zero());
  REQUIRE(pacer.NextPause(true) == Duration::zero());
  REQUIRE(pacer.NextPause(true) == Duration::zero());
}

TEST_CASE("Pauses without progress double up to the longest") {
  ProgressPacer pacer(milliseconds(200), milliseconds(3000));
  for (const int expected : {200, 400, 800, 1600, 3000, 3000, 3000}) {
    REQUIRE(pacer.NextPause(false) == milliseconds(expected));
  }
}

TEST_CASE("Progress returns the pauses to the shortest") {
  ProgressPacer pacer(milliseconds(200), milliseconds(3000));
  for (int round = 0; round < 10; ++round) {
    pacer.NextPause(false);
  }
  pacer.NextPause(true);
  REQUIRE(pacer.NextPause(false) == milliseconds(200));
  REQUIRE(pacer.NextPause(false) == milliseconds(400));
}

TEST_CASE("Equal bounds give a constant pause") {
  ProgressPacer pacer(milliseconds(500), milliseconds(500));
  REQUIRE(pacer.NextPause(false) == milliseconds(500));
  REQUIRE(pacer.NextPause(false) == milliseconds(500));
}

TEST_CASE("The longest duration does not overflow") {
  ProgressPacer pacer(milliseconds(1), Duration::max());
  Duration last = Duration::zero();
  for (int round = 0; round < 100; ++round) {
    const Duration pause = pacer.NextPause(false);
    REQUIRE(pause >= last);
    last = pause;
  }
  REQUIRE(last == Duration::max());
}

// Guards against a loop that calls a service over and over while the answers
// bring nothing new, because they count as progress or restart the pauses.
TEST_CASE("The rounds without progress in any window are bounded") {
  rc::prop("over any sequence of outcomes", [] {
    const Duration shortest = milliseconds(*rc::gen::inRange(1, 500));
    const Duration longest =
        shortest + milliseconds(*rc::gen::inRange(0, 5000));
    ProgressPacer pacer(shortest, longest);
    const auto outcomes = *rc::gen::arbitrary<std::vector<bool>>();

    MonotonicTime now;
    std::vector<MonotonicTime> idle_rounds;  // Starts, in all of the sequence.
    std::vector<MonotonicTime> row;  // The same, since the last progress.
    for (const bool advanced : outcomes) {
      const Duration pause = pacer.NextPause(advanced);
      if (advanced) {
        RC_ASSERT(pause == Duration::zero());
        row.clear();
        continue;
      }
      RC_ASSERT(pause >= shortest);
      RC_ASSERT(pause <= longest);
      idle_rounds.push_back(now);
      row.push_back(now);
      now += pause;

      // Any window: no more than one round per shortest pause begun.
      for (std::size_t first = 0; first < idle_rounds.size(); ++first) {
        const Duration window = idle_rounds.back() - idle_rounds[first];
        const auto rounds =
            static_cast<std::int64_t>(idle_rounds.size() - first);
        RC_ASSERT(rounds <= window / shortest + 1);
      }
      // Rounds in a row: those of the doubling, then one per longest pause.
      std::int64_t doublings = 0;
      for (Duration step = shortest; step < longest; step *= 2) {
        ++doublings;
      }
      const Duration window = row.back() - row.front();
      RC_ASSERT(static_cast<std::int64_t>(row.size()) <=
                window / longest + doublings + 1);
    }
  });
}

}  // namespace
}  // namespace kumquatcart
