#include "packages/caller/claim_answer.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

CallerAnswer Refuse(ErrorKind kind,
                    std::string message,
                    std::string remedy,
                    RunClaim run_claim) {
  CallerAnswer answer;
  answer.error = MakeError(kind, std::move(message), std::move(remedy));
  answer.run_claim = run_claim;
  return answer;
}

}  // namespace

CallerAnswer AnswerFromClaim(const Claim& claim) {
  const std::string state_url = absl::StrCat("/v1/requests/", claim.request_id);
  switch (claim.state) {
    case ClaimState::kRunning:
      return Refuse(
          ErrorKind::kConflict,
          absl::StrCat("instance ", claim.instance, " runs this request"),
          absl::StrCat("query GET ", state_url, " for its state"),
          RunClaim::kMayHaveRun);
    case ClaimState::kNotRun:
      return Refuse(ErrorKind::kConflict,
                    "a request with this id was accepted before and not run; "
                    "it never will be",
                    "send the request with a new request id",
                    RunClaim::kNotRun);
    case ClaimState::kOutcomeUnknown:
      return Refuse(ErrorKind::kOutcomeUnknown,
                    "the outcome of this request is not known; it is never "
                    "run again",
                    absl::StrCat("query GET ", state_url, " for its state"),
                    RunClaim::kMayHaveRun);
    case ClaimState::kCompleted:
      break;
  }
  if (!claim.answer_kept) {
    return Refuse(ErrorKind::kConflict,
                  absl::StrCat("the request has completed with status ",
                               claim.answer_status,
                               "; its answer was too large to be kept"),
                  absl::StrCat("query GET ", state_url, " for its state"),
                  RunClaim::kMayHaveRun);
  }
  CallerAnswer answer;
  answer.status = static_cast<int>(claim.answer_status);
  answer.content_type = claim.answer_content_type;
  answer.body = claim.answer_body;
  answer.replayed = true;
  return answer;
}

}  // namespace bramleyrail
