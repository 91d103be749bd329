#ifndef PACKAGES_HTTP_HTTP_MESSAGE_H_
#define PACKAGES_HTTP_HTTP_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Value of the first header of that name, in any case, or empty.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string target;  // Path and query.
  HttpHeaders headers;
  std::string body;
  // Whether the sender has not closed the connection on which the server has
  // read the request. Empty: not known.
  std::function<bool()> sender_waits;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;  // Besides length, type and connection.
  std::string body;     // JSON, unless `content_type` says otherwise.
  std::string content_type = "application/json";
};

using HttpResponder = std::function<void(HttpResponse)>;
// Answers with the responder, once, from the thread of the loop. A responder
// that is destroyed without a call closes the connection.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// Calls the handler. An exception of the handler ends this exchange with 500
// and is logged; the process goes on.
void RunHandler(const HttpHandler& handler,
                HttpRequest request,
                HttpResponder respond);

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_HTTP_MESSAGE_H_
