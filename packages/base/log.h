#ifndef PACKAGES_BASE_LOG_H_
#define PACKAGES_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "packages/base/error.h"

namespace bramleyrail {

enum class LogSeverity { kDebug, kInfo, kWarning, kError };

// A numbered log event. Each package defines its events in NAME_events.h, and
// docs/log-events.md lists all of them; a test compares the two.
struct LogEventDefinition {
  int number;
  LogSeverity severity;
  const char* name;  // Lower case with underscores.
};

using LogValue = std::variant<std::string_view, int64_t, double, bool>;

struct LogField {
  template <typename T>
  LogField(std::string_view field_key, const T& field_value)
      : key(field_key), value(ToLogValue(field_value)) {}

  std::string_view key;
  LogValue value;

 private:
  template <typename T>
  static LogValue ToLogValue(const T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      return value;
    } else if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::is_integral_v<T>) {
      return static_cast<int64_t>(value);
    } else {
      const std::string_view text = value;
      return text;
    }
  }
};

enum class LogStream { kStandardError, kStandardOutput };

struct LogOptions {
  std::string file;  // Empty for `stream`.
  LogStream stream = LogStream::kStandardError;
  LogSeverity minimum_severity = LogSeverity::kInfo;
};

// Starts asynchronous logging. When the buffer is full, lines are dropped and
// counted instead of blocking the caller.
Result<void> StartLogging(const LogOptions& options);

// Writes out what is buffered and stops.
void StopLogging();

// Writes one line: time, severity, event number, event name, then key=value
// for each field, quoted where needed.
void LogEvent(const LogEventDefinition& event,
              std::initializer_list<LogField> fields);

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_LOG_H_
