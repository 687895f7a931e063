// Reads a stream of server-sent events as it grows.
#ifndef LOAD_EVENT_STREAM_H_
#define LOAD_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatcart::load {

// Not thread safe.
class EventStream {
 public:
  // Takes the whole body so far; returns how many tokens are new.
  int Grow(std::string_view body);

  const std::string& Text() const { return this->text; }
  // The normal terminator came.
  bool IsDone() const { return this->done; }
  // Outcome told by an error event, empty when none came.
  const std::string& ErrorOutcome() const { return this->error_outcome; }
  bool HasError() const { return this->has_error; }

 private:
  void TakeLine(std::string_view line);
  void TakeData(std::string_view data);

  std::size_t read = 0;
  int tokens = 0;
  std::string event;
  std::string text;
  bool done = false;
  bool has_error = false;
  std::string error_outcome;
};

}  // namespace kumquatcart::load

#endif  // LOAD_EVENT_STREAM_H_
