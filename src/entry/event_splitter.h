// Splits a stream of server-sent events into single events.
#ifndef ENTRY_EVENT_SPLITTER_H_
#define ENTRY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/comparable.h"

namespace kumquatcart {

// One complete event including the empty line that ends it.
struct StreamEvent {
  std::string text;
  std::optional<std::int64_t> id;

  auto Tie() const { return std::tie(this->text, this->id); }
};

// Not thread safe.
class EventSplitter {
 public:
  // Appends bytes of the stream and returns the events completed by them.
  std::vector<StreamEvent> Feed(const std::string& bytes);

  // Bytes of the last event while it is incomplete.
  const std::string& Partial() const { return this->partial; }

 private:
  std::string partial;
};

}  // namespace kumquatcart

#endif  // ENTRY_EVENT_SPLITTER_H_
