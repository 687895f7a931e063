#include "base/logging.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace kumquatcart {

namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};
std::atomic<LogFormat> line_format{LogFormat::kKeyValue};

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Writes lines to standard output, non-blocking and limited per second. Thread
// safe.
class RateLimitedOutput {
 public:
  void Enable(int lines_per_second) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->lines_per_second = lines_per_second;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  // Returns false if this output is not enabled and the line must go to
  // standard error.
  bool Write(std::int64_t unix_millis, const std::string& line) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->lines_per_second == 0) {
      return false;
    }
    this->AdvanceToSecond(unix_millis / 1000);
    if (this->lines_written >= this->lines_per_second ||
        !this->WriteBytes(line)) {
      ++this->lines_dropped;
      return true;
    }
    ++this->lines_written;
    return true;
  }

 private:
  void AdvanceToSecond(std::int64_t second) {
    if (second == this->current_second) {
      return;
    }
    this->current_second = second;
    this->lines_written = 0;
    if (this->lines_dropped > 0 &&
        this->WriteBytes(
            fmt::format("level=warning event=log_lines_dropped count={}\n",
                        this->lines_dropped))) {
      this->lines_dropped = 0;
    }
  }

  // A partial write counts as success; the line is visibly truncated in the
  // output.
  static bool WriteBytes(const std::string& bytes) {
    return ::write(STDOUT_FILENO, bytes.data(), bytes.size()) > 0;
  }

  std::mutex mutex;
  int lines_per_second = 0;
  std::int64_t current_second = 0;
  int lines_written = 0;
  std::int64_t lines_dropped = 0;
};

RateLimitedOutput& StandardOutput() {
  static RateLimitedOutput output;
  return output;
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() ||
         value.find_first_of(" \"=\\\n\r\t") != std::string::npos;
}

std::string Quote(const std::string& value) {
  return nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

std::string FormatTime(std::int64_t unix_millis) {
  const std::time_t seconds = unix_millis / 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     unix_millis % 1000);
}

}  // namespace

void ConfigureLogging(LogLevel minimum, LogFormat format) {
  minimum_level = minimum;
  line_format = format;
}

void LogToStandardOutput(int lines_per_second) {
  StandardOutput().Enable(lines_per_second);
}

void Log(LogLevel level,
         const char* event,
         std::initializer_list<LogField> fields) {
  if (level < minimum_level.load()) {
    return;
  }
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  std::string line =
      internal::FormatLogLine(line_format.load(), millis, level, event, fields);
  line.push_back('\n');
  if (StandardOutput().Write(millis, line)) {
    return;
  }
  // A single write per line prevents interleaving between threads.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

namespace internal {

std::string FormatLogLine(LogFormat format,
                          std::int64_t unix_millis,
                          LogLevel level,
                          const char* event,
                          std::initializer_list<LogField> fields) {
  if (format == LogFormat::kJson) {
    nlohmann::ordered_json json;
    json["time"] = FormatTime(unix_millis);
    json["level"] = LevelName(level);
    json["event"] = event;
    for (const LogField& field : fields) {
      json[field.key] = field.value;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string line =
      fmt::format("time={} level={} event={}", FormatTime(unix_millis),
                  LevelName(level), event);
  for (const LogField& field : fields) {
    const std::string value =
        NeedsQuotes(field.value) ? Quote(field.value) : field.value;
    fmt::format_to(std::back_inserter(line), " {}={}", field.key, value);
  }
  return line;
}

}  // namespace internal

}  // namespace kumquatcart
