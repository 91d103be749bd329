#ifndef PACKAGES_CALLER_CLAIM_ANSWER_H_
#define PACKAGES_CALLER_CLAIM_ANSWER_H_

#include "packages/caller/caller_request.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Answers a request whose id was claimed before with the state of that claim.
CallerAnswer AnswerFromClaim(const Claim& claim);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CLAIM_ANSWER_H_
