#include "packages/caller/caller_headers.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr char kAnonymousCaller[] = "anonymous";

void AddFault(std::vector<FieldFault>* faults,
              std::string path,
              const Result<void>& result) {
  if (!result.has_value()) {
    faults->push_back({std::move(path), result.error().remedy});
  }
}

void ReadIdempotent(const httplib::Request& request,
                    CallerRequest* caller_request,
                    std::vector<FieldFault>* faults) {
  const std::string value = request.get_header_value(kIdempotentHeader);
  caller_request->idempotent = value == "true";
  if (!value.empty() && value != "true" && value != "false") {
    faults->push_back({kIdempotentHeader, "must be true or false"});
  }
}

void ReadTimeout(const httplib::Request& request,
                 CallerRequest* caller_request,
                 std::vector<FieldFault>* faults) {
  const std::string value = request.get_header_value(kTimeoutHeader);
  if (value.empty()) {
    return;
  }
  int64_t timeout = 0;
  if (!absl::SimpleAtoi(value, &timeout) || timeout < 1 ||
      timeout > kMaximumTimeout.count()) {
    faults->push_back({kTimeoutHeader, absl::StrCat("must be from 1 to ",
                                                    kMaximumTimeout.count())});
    return;
  }
  caller_request->timeout = Milliseconds(timeout);
}

}  // namespace

Result<CallerRequest> ReadCallerRequest(const httplib::Request& request) {
  CallerRequest caller_request;
  std::vector<FieldFault> faults;
  caller_request.service = request.matches[1];
  AddFault(&faults, "service", ValidateName(caller_request.service));
  caller_request.request_id = request.get_header_value(kRequestIdHeader);
  if (caller_request.request_id.empty()) {
    caller_request.request_id = NewUniqueId();
    caller_request.id_is_new = true;
  }
  AddFault(&faults, kRequestIdHeader,
           ValidateRequestId(caller_request.request_id));
  caller_request.caller = request.get_header_value(kCallerHeader);
  if (caller_request.caller.empty()) {
    caller_request.caller = kAnonymousCaller;
  }
  AddFault(&faults, kCallerHeader, ValidateName(caller_request.caller));
  ReadIdempotent(request, &caller_request, &faults);
  ReadTimeout(request, &caller_request, &faults);
  if (!faults.empty()) {
    return MakeInvalidArgument(
        "the path or headers of the request are not valid", std::move(faults));
  }
  caller_request.content_type = request.get_header_value("Content-Type");
  caller_request.body = request.body;
  return caller_request;
}

}  // namespace bramleyrail
