#include "packages/base/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <memory>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Two seconds of decisions at the peak of 550 starts/s plus requests.
constexpr int kBufferedLines = 8192;

const log4cxx::LoggerPtr& Logger() {
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("bramleyrail");
  return logger;
}

log4cxx::LevelPtr ToLevel(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kDebug:
      return log4cxx::Level::getDebug();
    case LogSeverity::kInfo:
      return log4cxx::Level::getInfo();
    case LogSeverity::kWarning:
      return log4cxx::Level::getWarn();
    case LogSeverity::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

bool NeedsQuotes(std::string_view text) {
  return text.empty() ||
         std::any_of(text.begin(), text.end(), [](unsigned char character) {
           return character <= ' ' || character == '"' || character == '=' ||
                  character == '\\' || character >= 0x7f;
         });
}

void AppendValue(std::string* line, const LogValue& value) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    const absl::string_view view(text->data(), text->size());
    if (NeedsQuotes(*text)) {
      absl::StrAppend(line, "\"", absl::CEscape(view), "\"");
    } else {
      absl::StrAppend(line, view);
    }
  } else if (const auto* integer = std::get_if<int64_t>(&value)) {
    absl::StrAppend(line, *integer);
  } else if (const auto* number = std::get_if<double>(&value)) {
    absl::StrAppend(line, *number);
  } else {
    absl::StrAppend(line, std::get<bool>(value) ? "true" : "false");
  }
}

}  // namespace

Result<void> StartLogging(const LogOptions& options) {
  try {
    auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n"));
    log4cxx::AppenderPtr sink;
    if (options.file.empty()) {
      sink = std::make_shared<log4cxx::ConsoleAppender>(
          layout, options.stream == LogStream::kStandardOutput
                      ? LOG4CXX_STR("System.out")
                      : LOG4CXX_STR("System.err"));
    } else {
      LOG4CXX_DECODE_CHAR(file, options.file);
      sink = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }
    auto asynchronous = std::make_shared<log4cxx::AsyncAppender>();
    asynchronous->setBufferSize(kBufferedLines);
    asynchronous->setBlocking(false);
    asynchronous->addAppender(sink);
    const log4cxx::LoggerPtr& logger = Logger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(asynchronous);
    logger->setLevel(ToLevel(options.minimum_severity));
  } catch (const std::exception& exception) {
    return MakeError(
        ErrorKind::kStorage,
        absl::StrCat("cannot open log file '", options.file,
                     "': ", exception.what()),
        "name a file in an existing folder that the process may write to");
  }
  return Success();
}

void StopLogging() {
  Logger()->removeAllAppenders();
  log4cxx::LogManager::shutdown();
}

void LogEvent(const LogEventDefinition& event,
              std::initializer_list<LogField> fields) {
  const log4cxx::LevelPtr level = ToLevel(event.severity);
  const log4cxx::LoggerPtr& logger = Logger();
  if (!logger->isEnabledFor(level)) {
    return;
  }
  std::string line = absl::StrCat("event=", event.number, " name=", event.name);
  for (const LogField& field : fields) {
    absl::StrAppend(&line, " ",
                    absl::string_view(field.key.data(), field.key.size()), "=");
    AppendValue(&line, field.value);
  }
  logger->forcedLog(level, line,
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace bramleyrail
