#include "entry/stream_progress.h"

#include <vector>

#include <catch2/catch.hpp>

namespace kumquatcart {
namespace {

StreamEvent NumberedEvent(std::int64_t id) {
  return {"id: " + std::to_string(id) + "\ndata: a\n\n", id};
}

// Lets a first attempt forward `ids` and returns what is done with the event
// `next` of a second one. `resume_after`: sent by the caller.
EventVerdict VerdictAfter(const std::vector<std::int64_t>& ids,
                          std::int64_t next,
                          std::optional<std::int64_t> resume_after = {}) {
  StreamProgress progress;
  progress.BeginAttempt(resume_after);
  for (const std::int64_t id : ids) {
    REQUIRE(progress.Accept(NumberedEvent(id)) == EventVerdict::kForward);
  }
  REQUIRE(progress.BeginAttempt(resume_after) == ids.back());
  return progress.Accept(NumberedEvent(next));
}

// Guards against a gap that goes unnoticed after few events, and against one
// that is suspected where ids leave out numbers.
TEST_CASE("A gap is an id left out where ids count by one") {
  CHECK(VerdictAfter({1}, 2) == EventVerdict::kForward);
  CHECK(VerdictAfter({1}, 3) == EventVerdict::kGap);
  CHECK(VerdictAfter({0, 1}, 2) == EventVerdict::kForward);
  CHECK(VerdictAfter({0, 1}, 3) == EventVerdict::kGap);
  CHECK(VerdictAfter({13}, 14, 12) == EventVerdict::kForward);
  CHECK(VerdictAfter({13}, 15, 12) == EventVerdict::kGap);
  // The distance of ids is not known, or not one.
  CHECK(VerdictAfter({0}, 6) == EventVerdict::kForward);
  CHECK(VerdictAfter({6, 12}, 18) == EventVerdict::kForward);
  CHECK(VerdictAfter({1, 2, 6}, 8) == EventVerdict::kForward);
}

// Guards against an attempt that is refused for a gap which its own server has
// left: only the place where the attempts join is judged.
TEST_CASE("Ids within one attempt may leave out numbers") {
  StreamProgress progress;
  progress.BeginAttempt({});
  for (const std::int64_t id : {1, 2, 7, 8}) {
    CHECK(progress.Accept(NumberedEvent(id)) == EventVerdict::kForward);
  }
  CHECK(progress.LastEvent() == 8);
}

// Guards against a repeat after a second attempt that broke off too.
TEST_CASE("Each attempt continues after all earlier ones") {
  StreamProgress progress;
  CHECK(progress.BeginAttempt(4) == 4);
  CHECK(progress.BeginAttempt(4) == 4);  // Nothing was forwarded.
  CHECK(progress.Accept(NumberedEvent(5)) == EventVerdict::kForward);
  CHECK(progress.BeginAttempt(4) == 5);
  CHECK(progress.Accept(NumberedEvent(5)) == EventVerdict::kSkip);
  CHECK(progress.Accept(NumberedEvent(6)) == EventVerdict::kForward);
  CHECK(progress.BeginAttempt(4) == 6);
  CHECK(progress.Accept(NumberedEvent(6)) == EventVerdict::kSkip);
  CHECK(progress.Accept(NumberedEvent(8)) == EventVerdict::kGap);
}

}  // namespace
}  // namespace kumquatcart
