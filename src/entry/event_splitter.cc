#include "entry/event_splitter.h"

#include <charconv>
#include <string_view>

namespace kumquatcart {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the empty line that ends the event at `begin`, or
// npos if the event is incomplete. Lines end with LF or CR LF.
std::size_t FindEventEnd(const std::string& text, std::size_t begin) {
  std::size_t line = begin;
  while (line < text.size()) {
    const std::size_t newline = text.find('\n', line);
    if (newline == std::string::npos) {
      return std::string::npos;
    }
    const bool is_empty =
        newline == line || (newline == line + 1 && text[line] == '\r');
    if (is_empty) {
      return newline + 1;
    }
    line = newline + 1;
  }
  return std::string::npos;
}

std::optional<std::int64_t> ParseEventId(std::string_view text) {
  while (!text.empty()) {
    const std::size_t newline = text.find('\n');
    std::string_view line = text.substr(0, newline);
    text.remove_prefix(newline == std::string_view::npos ? text.size()
                                                         : newline + 1);
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

std::vector<StreamEvent> EventSplitter::Feed(const std::string& bytes) {
  this->partial += bytes;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  for (std::size_t end = FindEventEnd(this->partial, begin);
       end != std::string::npos; end = FindEventEnd(this->partial, begin)) {
    StreamEvent event;
    event.text = this->partial.substr(begin, end - begin);
    event.id = ParseEventId(event.text);
    events.push_back(std::move(event));
    begin = end;
  }
  this->partial.erase(0, begin);
  return events;
}

}  // namespace kumquatcart
