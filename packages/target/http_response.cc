#include "packages/target/http_response.h"

namespace bramleyrail {

int HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kFailedPrecondition:
      return 409;
    case ErrorKind::kCompacted:
      return 410;
    case ErrorKind::kResourceExhausted:
      return 429;
    case ErrorKind::kDataLoss:
      return 502;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kStorage:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

Json ErrorToJson(const Error& error,
                 RequestExecution execution,
                 std::string_view request_id) {
  Json json = {{"kind", std::string(ErrorKindName(error.kind))},
               {"message", error.message},
               {"remedy", error.remedy},
               {"not_run", execution == RequestExecution::kNotRun}};
  if (!request_id.empty()) {
    json["request_id"] = std::string(request_id);
  }
  if (!error.faults.empty()) {
    Json faults = Json::array();
    for (const FieldFault& fault : error.faults) {
      faults.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    json["faults"] = std::move(faults);
  }
  return json;
}

void SetJsonResponse(httplib::Response* response,
                     int status,
                     const Json& json) {
  response->status = status;
  // Texts from callers may contain invalid UTF-8, for which dump() would throw
  // by default.
  response->set_content(
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
      kJsonContentType);
}

void SetErrorResponse(httplib::Response* response,
                      const Error& error,
                      RequestExecution execution,
                      std::string_view request_id) {
  if (execution == RequestExecution::kNotRun) {
    response->set_header(kNotRunHeader, "true");
  }
  SetJsonResponse(response, HttpStatusOf(error.kind),
                  ErrorToJson(error, execution, request_id));
}

}  // namespace bramleyrail
