// Splits a byte stream into lines.
#ifndef GATEWAY_LINE_SPLITTER_H_
#define GATEWAY_LINE_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquatcart {

// Collects bytes and hands out each line without its newline. Not thread safe.
class LineSplitter {
 public:
  explicit LineSplitter(std::size_t max_line_bytes)
      : max_line_bytes(max_line_bytes) {}

  // Calls `on_line(std::string_view)` for each line that `bytes` ends. Returns
  // false when a line is longer than the bound; the stream is then of no use.
  template <class OnLine>
  bool Feed(std::string_view bytes, OnLine on_line) {
    std::size_t newline = bytes.find('\n');
    while (newline != std::string_view::npos) {
      const std::string_view rest = bytes.substr(0, newline);
      if (this->partial.empty()) {
        on_line(rest);
      } else {
        this->partial.append(rest);
        on_line(std::string_view(this->partial));
        this->partial.clear();
      }
      bytes.remove_prefix(newline + 1);
      newline = bytes.find('\n');
    }
    this->partial.append(bytes);
    return this->partial.size() <= this->max_line_bytes;
  }

 private:
  const std::size_t max_line_bytes;
  std::string partial;
};

}  // namespace kumquatcart

#endif  // GATEWAY_LINE_SPLITTER_H_
