#include "packages/bramleyctl/watch_subscription.h"

#include <httplib.h>

#include <optional>
#include <string_view>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kConnectTimeout{1000};
// A server sends a line at least every 2 s.
constexpr Milliseconds kSilenceLimit{6000};
// A change carries one resource; a spec is far smaller than this.
constexpr size_t kMaximumLineBytes = 8'000'000;

// Takes the whole lines off the front of `text`; false when the handler ended
// the stream or a line is faulty.
Result<bool> HandleLines(std::string* text,
                         const WatchSubscription::LineHandler& handler) {
  size_t start = 0;
  while (true) {
    const size_t end = text->find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view line(text->data() + start, end - start);
    start = end + 1;
    if (line.empty()) {
      continue;
    }
    TRY(json, ParseJson(line, JsonComments::kRefuse));
    if (!handler(json)) {
      return false;
    }
  }
  text->erase(0, start);
  if (text->size() > kMaximumLineBytes) {
    return MakeError(ErrorKind::kDataLoss, "a line of the watch is too long",
                     "check that --watch_servers names watch ports");
  }
  return true;
}

}  // namespace

Result<void> WatchSubscription::Read(const ServerAddress& server,
                                     const std::string& path,
                                     const LineHandler& handler) {
  httplib::Client client(server.host, server.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kSilenceLimit);
  int status = 0;
  std::string text;
  bool ended = false;
  std::optional<Error> fault;
  const httplib::Result result = client.Get(
      path,
      [&](const httplib::Response& response) {
        status = response.status;
        return true;
      },
      [&](const char* data, size_t length) {
        text.append(data, length);
        if (status != 200) {
          return text.size() < kMaximumLineBytes;
        }
        const Result<bool> outcome = HandleLines(&text, handler);
        if (outcome.has_error()) {
          fault = outcome.error();
          return false;
        }
        ended = !outcome.value();
        return outcome.value();
      });
  if (ended) {
    return Success();
  }
  if (fault.has_value()) {
    return MakeError(ErrorKind::kDataLoss, fault->message, fault->remedy);
  }
  if (status != 0 && status != 200) {
    return ErrorOfAnswer(status, text);
  }
  const std::string reason =
      result ? "the stream was cut" : httplib::to_string(result.error());
  return MakeError(ErrorKind::kUnavailable, reason, "");
}

}  // namespace bramleyrail
