// Parts of prompts that servers have answered soundly.
#ifndef ROUTING_SOUND_PARTS_H_
#define ROUTING_SOUND_PARTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "model/prompt_evidence.h"

namespace kumquatcart {

// Remembers when each part was last in a sound run. Bounded: forgets parts that
// have not been noted while many others were. Not thread safe.
class SoundParts {
 public:
  // Keeps at least the latest `capacity` parts, and at most twice as many.
  explicit SoundParts(std::size_t capacity) : capacity(capacity) {}

  // Notes a sound run at `at`, unless a later one is known.
  void Note(const PromptPart& part, MonotonicTime at) {
    const std::optional<MonotonicTime> known = this->Find(part);
    if (this->recent.size() >= this->capacity &&
        this->recent.count(part) == 0) {
      this->older = std::move(this->recent);
      this->recent.clear();
    }
    this->recent[part] = known && *known > at ? *known : at;
  }

  // The latest sound run; none if none is known.
  std::optional<MonotonicTime> Find(const PromptPart& part) const {
    for (const auto* times : {&this->recent, &this->older}) {
      const auto found = times->find(part);
      if (found != times->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

 private:
  using Times = std::unordered_map<PromptPart, MonotonicTime>;

  const std::size_t capacity;
  Times recent;
  Times older;  // Those that were in `recent` before it was full.
};

}  // namespace kumquatcart

#endif  // ROUTING_SOUND_PARTS_H_
