// Cuts a stream of events at their ends.
#ifndef ENTRY_EVENT_SPLITTER_H_
#define ENTRY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// One whole event with its closing empty line.
struct StreamEvent {
  std::string text;
  std::optional<std::int64_t> id;

  auto Tie() const { return std::tie(this->text, this->id); }
};

// Not thread safe.
class EventSplitter {
 public:
  // Adds bytes of the stream and returns the events that they complete.
  std::vector<StreamEvent> Feed(const std::string& bytes);

  // Bytes of an event that has no end yet.
  const std::string& Partial() const { return this->partial; }

 private:
  std::string partial;
};

}  // namespace kumquatcart

#endif  // ENTRY_EVENT_SPLITTER_H_
