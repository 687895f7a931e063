// How far servers get with their answers.
#ifndef MODEL_ANSWER_EXTENT_H_
#define MODEL_ANSWER_EXTENT_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "base/comparable.h"

namespace kumquatcart {

// An extent on a scale of few grades, so that the latest answer of each can be
// remembered for many parts of prompts: each grade has twice as many events as
// the one below it, and the highest is the whole answer.
struct AnswerExtent {
  int grade = 0;  // From 0 to kExtentGrades - 1.

  auto Tie() const { return std::tie(this->grade); }
};

constexpr int kExtentGrades = 12;
constexpr int kEventsOfLowestGrade = 3;
// Servers that end under a prompt need not do so after the same number of
// events.
constexpr std::int64_t kClearlyLonger = 4;

constexpr AnswerExtent WholeAnswer() {
  return {kExtentGrades - 1};
}

// The highest extent that an answer has reached with `events` events; none if
// it has hardly begun. Thread safe.
inline std::optional<AnswerExtent> ExtentOf(int events) {
  std::optional<AnswerExtent> extent;
  for (int grade = 0;
       grade < WholeAnswer().grade && events >= kEventsOfLowestGrade << grade;
       ++grade) {
    extent = AnswerExtent{grade};
  }
  return extent;
}

// The extent that an answer must reach to be clearly longer than one that ended
// after `events` events: at least kClearlyLonger times as many. Thread safe.
inline AnswerExtent ExtentBeyond(int events) {
  AnswerExtent extent;
  while (extent != WholeAnswer() &&
         kEventsOfLowestGrade << extent.grade < kClearlyLonger * events) {
    ++extent.grade;
  }
  return extent;
}

}  // namespace kumquatcart

#endif  // MODEL_ANSWER_EXTENT_H_
