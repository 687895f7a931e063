#include "entry/event_splitter.h"

#include <charconv>
#include <string_view>

namespace kumquatcart {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr char kLineEndCharacters[] = "\r\n";
// Begins the status line of an answer, which may follow a part of a field.
constexpr std::string_view kHttpVersion = "HTTP/1.";

// Removes the first line of `text` and returns it without its end.
std::string_view TakeLine(std::string_view* text) {
  const std::size_t line_end = text->find_first_of(kLineEndCharacters);
  const std::string_view line = text->substr(0, line_end);
  text->remove_prefix(line_end == std::string_view::npos ? text->size()
                                                         : line_end + 1);
  return line;
}

std::optional<std::int64_t> ParseEventId(std::string_view text) {
  while (!text.empty()) {
    std::string_view line = TakeLine(&text);
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::int64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

EventContent ContentOf(const StreamEvent& event) {
  bool has_event_field = false;
  bool has_other_field = false;
  bool follows_status_line = false;
  std::string_view text = event.text;
  while (!text.empty()) {
    const std::string_view line = TakeLine(&text);
    const std::string_view name = line.substr(0, line.find(':'));
    if (name == "id" || name == "data" || name == "event") {
      has_event_field = true;
    } else if (!name.empty() && name != "retry") {
      if (follows_status_line) {
        return EventContent::kOther;
      }
      has_other_field = true;
    }
    if (line.find(kHttpVersion) != std::string_view::npos) {
      follows_status_line = true;
    }
  }
  if (has_event_field) {
    return EventContent::kEvent;
  }
  return has_other_field ? EventContent::kOther : EventContent::kNone;
}

std::vector<StreamEvent> EventSplitter::Feed(const std::string& bytes) {
  this->partial += bytes;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  while (this->FindLineEnd()) {
    const std::size_t line_end = this->scanned;
    const std::size_t next_line = this->PassLineEnd();
    if (next_line == std::string::npos) {
      break;
    }
    const bool is_empty_line = line_end == this->line_begin;
    this->line_begin = next_line;
    this->scanned = next_line;
    if (is_empty_line) {
      StreamEvent event;
      event.text = this->partial.substr(begin, next_line - begin);
      event.id = ParseEventId(event.text);
      events.push_back(std::move(event));
      begin = next_line;
    }
  }
  this->partial.erase(0, begin);
  this->line_begin -= begin;
  this->scanned -= begin;
  return events;
}

bool EventSplitter::FindLineEnd() {
  const std::size_t found =
      this->partial.find_first_of(kLineEndCharacters, this->scanned);
  this->scanned = found == std::string::npos ? this->partial.size() : found;
  return found != std::string::npos;
}

std::size_t EventSplitter::PassLineEnd() {
  const std::size_t next = this->scanned + 1;
  if (this->partial[this->scanned] == '\n') {
    this->ends_lines_with_cr = false;
    return next;
  }
  if (next == this->partial.size()) {
    return this->ends_lines_with_cr ? next : std::string::npos;
  }
  this->ends_lines_with_cr = this->partial[next] != '\n';
  return this->ends_lines_with_cr ? next : next + 1;
}

}  // namespace kumquatcart
