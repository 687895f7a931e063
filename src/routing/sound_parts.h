// Parts of prompts that servers have answered soundly.
#ifndef ROUTING_SOUND_PARTS_H_
#define ROUTING_SOUND_PARTS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "model/answer_extent.h"
#include "model/prompt_evidence.h"

namespace kumquatcart {

// Remembers when a run with each part last reached each extent. Bounded:
// forgets parts that have not been noted while many others were. Not thread
// safe.
class SoundParts {
 public:
  // Keeps at least the latest `capacity` parts, and at most twice as many.
  explicit SoundParts(std::size_t capacity) : capacity(capacity) {}

  // Notes a run that had reached `extent` at `at`; later ones stay known.
  void Note(const PromptPart& part, AnswerExtent extent, MonotonicTime at) {
    const Times* known = this->TimesOf(part);
    Times times;
    if (known != nullptr) {
      times = *known;
    } else {
      times.fill(kNever);
    }
    for (int grade = 0; grade <= extent.grade; ++grade) {
      MonotonicTime& time = times.at(static_cast<std::size_t>(grade));
      time = std::max(time, at);
    }
    if (this->recent.size() >= this->capacity &&
        this->recent.count(part) == 0) {
      this->older = std::move(this->recent);
      this->recent.clear();
    }
    this->recent[part] = times;
  }

  // The latest time at which a run reached at least `extent`; none if none did.
  std::optional<MonotonicTime> Find(const PromptPart& part,
                                    AnswerExtent extent) const {
    const Times* times = this->TimesOf(part);
    if (times == nullptr) {
      return std::nullopt;
    }
    const MonotonicTime time =
        times->at(static_cast<std::size_t>(extent.grade));
    return time == kNever ? std::nullopt : std::make_optional(time);
  }

  bool Contains(const PromptPart& part) const {
    return this->TimesOf(part) != nullptr;
  }

  // The runs from which all answers of Find() follow.
  std::map<AnswerExtent, MonotonicTime> RunsOf(const PromptPart& part) const {
    std::map<AnswerExtent, MonotonicTime> runs;
    const Times* times = this->TimesOf(part);
    MonotonicTime further = kNever;
    for (int grade = kExtentGrades - 1; times != nullptr && grade >= 0;
         --grade) {
      const MonotonicTime time = times->at(static_cast<std::size_t>(grade));
      if (time > further) {
        runs[AnswerExtent{grade}] = time;
        further = time;
      }
    }
    return runs;
  }

 private:
  // By grade.
  using Times = std::array<MonotonicTime, kExtentGrades>;
  using Parts = std::unordered_map<PromptPart, Times>;

  static constexpr MonotonicTime kNever = MonotonicTime::min();

  // Null if no run with the part is known.
  const Times* TimesOf(const PromptPart& part) const {
    for (const Parts* parts : {&this->recent, &this->older}) {
      const auto found = parts->find(part);
      if (found != parts->end()) {
        return &found->second;
      }
    }
    return nullptr;
  }

  const std::size_t capacity;
  Parts recent;
  Parts older;  // Those that were in `recent` before it was full.
};

}  // namespace kumquatcart

#endif  // ROUTING_SOUND_PARTS_H_
