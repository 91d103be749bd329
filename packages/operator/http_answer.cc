#include "packages/operator/http_answer.h"

namespace bramleyrail {

namespace {

constexpr char kJsonType[] = "application/json";

std::string Dump(const Json& body) {
  // Payloads and messages of workers may hold any bytes.
  return body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace

int OperatorHttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kCompacted:
      return 410;
    case ErrorKind::kFailedPrecondition:
      return 422;
    case ErrorKind::kResourceExhausted:
      return 429;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kDataLoss:
    case ErrorKind::kStorage:
    case ErrorKind::kInternal:
      return 500;
  }
  BRAMLEYRAIL_ASSERT(false, "unknown error kind");
}

Json ErrorToJson(const Error& error) {
  Json faults = Json::array();
  for (const FieldFault& fault : error.faults) {
    faults.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  return {{"kind", ErrorKindName(error.kind)},
          {"message", error.message},
          {"remedy", error.remedy},
          {"faults", std::move(faults)}};
}

void AnswerError(const Error& error,
                 httplib::Response& response,
                 const Json& extra) {
  Json body = {{"error", ErrorToJson(error)}};
  if (error.kind == ErrorKind::kUnavailable) {
    body["not_run"] = true;
  }
  body.update(extra);
  response.status = OperatorHttpStatusOf(error.kind);
  response.set_content(Dump(body), kJsonType);
}

void AnswerJson(const Json& body, httplib::Response& response) {
  response.status = 200;
  response.set_content(Dump(body), kJsonType);
}

void AddStateAge(const StateAccess& state, httplib::Response& response) {
  const std::optional<Milliseconds> age = state.state_age();
  response.set_header("Bramleyrail-State-Age-Ms",
                      age ? std::to_string(age->count()) : "unknown");
}

}  // namespace bramleyrail
