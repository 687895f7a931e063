// Structured logs: one line an event, to standard error or standard output.
#ifndef BASE_LOGGING_H_
#define BASE_LOGGING_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <type_traits>

#include "base/ids.h"

namespace kumquatcart {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kKeyValue, kJson };

// One key=value pair of a log line.
struct LogField {
  std::string key;
  std::string value;

  LogField(std::string key, std::string value)
      : key(std::move(key)), value(std::move(value)) {}
  LogField(std::string key, const char* value)
      : key(std::move(key)), value(value) {}
  template <class Tag>
  LogField(std::string key, const StrongId<Tag>& id)
      : key(std::move(key)), value(id.value) {}
  template <class Number,
            class = std::enable_if_t<std::is_arithmetic_v<Number>>>
  LogField(std::string key, Number number)
      : key(std::move(key)), value(std::to_string(number)) {}
};

// Sets what is written from now on, process-wide. Thread safe.
void ConfigureLogging(LogLevel lowest, LogFormat format);

// Writes to standard output from now on, at most `lines_per_second` lines, and
// never waits for the reader: lines beyond the rate, and lines that the pipe
// has no room for, are counted and the count is logged later. Thread safe.
void LogToStandardOutput(int lines_per_second);

// Writes one line when `level` is at least the configured one. `event` is a
// short snake_case name. Thread safe; lines never interleave.
void Log(LogLevel level,
         const char* event,
         std::initializer_list<LogField> fields);

inline void LogDebug(const char* event,
                     std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kDebug, event, fields);
}
inline void LogInfo(const char* event,
                    std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kInfo, event, fields);
}
inline void LogWarning(const char* event,
                       std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kWarning, event, fields);
}
inline void LogError(const char* event,
                     std::initializer_list<LogField> fields = {}) {
  Log(LogLevel::kError, event, fields);
}

namespace internal {

// Renders a line without its newline. `unix_millis` is the time of the event.
std::string FormatLogLine(LogFormat format,
                          std::int64_t unix_millis,
                          LogLevel level,
                          const char* event,
                          std::initializer_list<LogField> fields);

}  // namespace internal

}  // namespace kumquatcart

#endif  // BASE_LOGGING_H_
