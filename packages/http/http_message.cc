#include "packages/http/http_message.h"

#include <exception>
#include <memory>

#include "absl/strings/match.h"
#include "packages/http/http_events.h"

namespace bramleyrail {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key,
                               absl::string_view(name.data(), name.size()))) {
      return value;
    }
  }
  return {};
}

void RunHandler(const HttpHandler& handler,
                HttpRequest request,
                HttpResponder respond) {
  const auto unanswered = std::make_shared<HttpResponder>(std::move(respond));
  const auto respond_once = [unanswered](HttpResponse response) {
    if (const HttpResponder responder = std::exchange(*unanswered, nullptr)) {
      responder(std::move(response));
    }
  };
  const std::string method = request.method;
  const std::string target = request.target;
  try {
    handler(std::move(request), respond_once);
  } catch (const std::exception& exception) {
    LogEvent(kHttpHandlerFailed, {{"method", method},
                                  {"target", target},
                                  {"error", std::string(exception.what())}});
    // The request may have been executed in part, which 500 does not deny.
    respond_once({.status = 500, .body = "{\"error\":\"internal error\"}"});
  }
}

}  // namespace bramleyrail
