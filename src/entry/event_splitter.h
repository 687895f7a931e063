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

// What an event holds, by the names of its fields.
enum class EventContent {
  kEvent,  // An id, a type or data.
  kNone,   // Nothing that a caller receives: comments, a retry time.
  kOther,  // No field of an event, or the head of another answer.
};

// Thread safe.
EventContent ContentOf(const StreamEvent& event);

// Lines end with LF, CR LF or CR. Not thread safe.
class EventSplitter {
 public:
  // Appends bytes of the stream and returns the events completed by them.
  std::vector<StreamEvent> Feed(const std::string& bytes);

  // Bytes of the last event while it is incomplete.
  const std::string& Partial() const { return this->partial; }

 private:
  // Moves `scanned` to the next line end. Returns false if there is none.
  bool FindLineEnd();
  // Returns the position after the line end at `scanned`, or npos if it is a CR
  // at the end of the input that an LF may follow.
  std::size_t PassLineEnd();

  std::string partial;
  std::size_t line_begin = 0;  // Of the first line not yet complete.
  std::size_t scanned = 0;     // No line ends between `line_begin` and here.
  // Whether the last line ended with a CR alone. Such a stream is not held up
  // until the byte after its last CR arrives.
  bool ends_lines_with_cr = false;
};

}  // namespace kumquatcart

#endif  // ENTRY_EVENT_SPLITTER_H_
