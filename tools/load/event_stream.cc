#include "load/event_stream.h"

#include "load/answer_text.h"

namespace kumquatcart::load {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventPrefix = "event: ";
constexpr std::string_view kTerminator = "[DONE]";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

int EventStream::Grow(std::string_view body) {
  const int before = this->tokens;
  while (true) {
    const std::size_t end = body.find('\n', this->read);
    if (end == std::string_view::npos) {
      return this->tokens - before;
    }
    this->TakeLine(body.substr(this->read, end - this->read));
    this->read = end + 1;
  }
}

void EventStream::TakeLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    this->event.clear();
  } else if (StartsWith(line, kEventPrefix)) {
    this->event = std::string(line.substr(kEventPrefix.size()));
  } else if (StartsWith(line, kDataPrefix)) {
    this->TakeData(line.substr(kDataPrefix.size()));
  }
}

void EventStream::TakeData(std::string_view data) {
  if (data == kTerminator) {
    this->done = true;
    return;
  }
  if (this->event == "error") {
    this->has_error = true;
    this->error_outcome = OutcomeOfError(data);
    return;
  }
  const std::string piece = TextOfAnswer(data);
  if (!piece.empty()) {
    ++this->tokens;
    this->text += piece;
  }
}

}  // namespace kumquatcart::load
