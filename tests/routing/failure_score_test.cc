#include "routing/failure_score.h"

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

const MonotonicTime kStart{std::chrono::seconds(100)};

TEST_CASE(
    "A server with partial failures has a higher score than one without") {
  FailureScore score;
  MonotonicTime now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(100);
    score.NoteSuccess({"sound"}, now);
    if (i % 2 == 0) {
      score.NoteFailure({"grey"}, now);
    } else {
      score.NoteSuccess({"grey"}, now);
    }
  }
  CHECK(score.Of({"grey"}, now) > 0.4);
  CHECK(score.Of({"sound"}, now) == 0);
}

TEST_CASE("The failure score decays over time") {
  FailureScore score;
  score.NoteFailure({"s"}, kStart);
  CHECK(score.Of({"s"}, kStart) == Approx(1));
  CHECK(score.Of({"s"}, kStart + std::chrono::seconds(2)) == Approx(0.5));
}

// Guards against a score that a server inherits from its former start.
TEST_CASE("Each start of a server has its own failure score") {
  FailureScore score;
  score.NoteFailure({"s", 1'000}, kStart);
  CHECK(score.Of({"s", 2'000}, kStart) == 0);
  CHECK(score.Of({"s", 1'000}, kStart) == Approx(1));
}

}  // namespace
}  // namespace kumquatcart
