// Structured logging, one line per event, to standard error or standard output.
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

// Sets the minimum level and the format of all further lines of the process.
// Thread safe.
void ConfigureLogging(LogLevel minimum, LogFormat format);

// Redirects all further lines to standard output, limited to
// `lines_per_second`. Writes never block: lines above the limit, and lines that
// do not fit into the pipe, are dropped, and their count is logged later.
// Thread safe.
void LogToStandardOutput(int lines_per_second);

// Writes one line if `level` is at least the configured minimum. `event` is a
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

// Formats a line without the trailing newline. `unix_millis` is the time of the
// event.
std::string FormatLogLine(LogFormat format,
                          std::int64_t unix_millis,
                          LogLevel level,
                          const char* event,
                          std::initializer_list<LogField> fields);

}  // namespace internal

}  // namespace kumquatcart

#endif  // BASE_LOGGING_H_
