#ifndef PACKAGES_TARGET_HTTP_ANSWER_H_
#define PACKAGES_TARGET_HTTP_ANSWER_H_

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

// Whether a rejection states that the request was not run.
enum class RunClaim { kNotRun, kMayHaveRun };

// HTTP status of a rejection of this kind.
int HttpStatusOf(ErrorKind kind);

// {"kind", "message", "remedy", "not_run", "request_id", "faults"}; the last
// two only when not empty.
Json ErrorToJson(const Error& error,
                 RunClaim run_claim,
                 std::string_view request_id);

void AnswerJson(httplib::Response* response, int status, const Json& json);

// Answers with the JSON of the error and the status of its kind.
void AnswerError(httplib::Response* response,
                 const Error& error,
                 RunClaim run_claim,
                 std::string_view request_id);

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_HTTP_ANSWER_H_
