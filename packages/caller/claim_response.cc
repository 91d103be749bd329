#include "packages/caller/claim_response.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

CallerResponse ClaimErrorResponse(ErrorKind kind,
                                  std::string message,
                                  std::string remedy,
                                  RequestExecution execution) {
  CallerResponse response;
  response.error = MakeError(kind, std::move(message), std::move(remedy));
  response.execution = execution;
  return response;
}

}  // namespace

CallerResponse ResponseFromClaim(const Claim& claim) {
  const std::string state_url = absl::StrCat("/v1/requests/", claim.request_id);
  switch (claim.state) {
    case ClaimState::kRunning:
      return ClaimErrorResponse(
          ErrorKind::kConflict,
          absl::StrCat("instance ", claim.instance,
                       " is already running this request"),
          absl::StrCat("query GET ", state_url, " for its state"),
          RequestExecution::kMayHaveRun);
    case ClaimState::kNotRun:
      return ClaimErrorResponse(
          ErrorKind::kConflict,
          "an earlier request with this id ended without being run; a "
          "request with this id is never run",
          "send the request with a new request id", RequestExecution::kNotRun);
    case ClaimState::kOutcomeUnknown:
      return ClaimErrorResponse(
          ErrorKind::kOutcomeUnknown,
          "the outcome of the earlier request with this id is not "
          "known; it is not run a second time",
          absl::StrCat("query GET ", state_url, " for its state"),
          RequestExecution::kMayHaveRun);
    case ClaimState::kCompleted:
      break;
  }
  if (!claim.response_stored) {
    return ClaimErrorResponse(
        ErrorKind::kConflict,
        absl::StrCat("the request has completed with status ",
                     claim.response_status,
                     "; its response was too large to be stored"),
        absl::StrCat("query GET ", state_url, " for its state"),
        RequestExecution::kMayHaveRun);
  }
  CallerResponse response;
  response.status = static_cast<int>(claim.response_status);
  response.content_type = claim.response_content_type;
  response.body = claim.response_body;
  response.replayed = true;
  return response;
}

}  // namespace bramleyrail
