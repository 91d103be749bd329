#ifndef PACKAGES_TARGET_HTTP_RESPONSE_H_
#define PACKAGES_TARGET_HTTP_RESPONSE_H_

#include <httplib.h>

#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr char kRequestIdHeader[] = "Bramleyrail-Request-Id";
inline constexpr char kCallerHeader[] = "Bramleyrail-Caller";
inline constexpr char kIdempotentHeader[] = "Bramleyrail-Idempotent";
inline constexpr char kTimeoutHeader[] = "Bramleyrail-Timeout-Ms";
inline constexpr char kTargetHeader[] = "Bramleyrail-Target";
inline constexpr char kInstanceHeader[] = "Bramleyrail-Instance";
inline constexpr char kSessionHeader[] = "Bramleyrail-Session";
inline constexpr char kNotRunHeader[] = "Bramleyrail-Not-Run";
inline constexpr char kLastEventIdHeader[] = "Last-Event-ID";
inline constexpr char kJsonContentType[] = "application/json";

// Whether a rejected request is known not to have been run.
enum class RequestExecution { kNotRun, kMayHaveRun };

// Returns the HTTP status for an error of this kind.
int HttpStatusOf(ErrorKind kind);

// Returns an object with the fields "kind", "message", "remedy", "not_run",
// "request_id" and "faults". The last two are omitted when empty.
Json ErrorToJson(const Error& error,
                 RequestExecution execution,
                 std::string_view request_id);

void SetJsonResponse(httplib::Response* response, int status, const Json& json);

// Sets the body to ErrorToJson() and the status to that of the error's kind.
// Adds the header Bramleyrail-Not-Run if the request was not run.
void SetErrorResponse(httplib::Response* response,
                      const Error& error,
                      RequestExecution execution,
                      std::string_view request_id);

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_HTTP_RESPONSE_H_
