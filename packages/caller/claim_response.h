#ifndef PACKAGES_CALLER_CLAIM_RESPONSE_H_
#define PACKAGES_CALLER_CLAIM_RESPONSE_H_

#include "packages/caller/caller_request.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Returns the response for a request whose id is already claimed: the stored
// response of the target, or an error that states the outcome of the claim.
CallerResponse ResponseFromClaim(const Claim& claim);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_CLAIM_RESPONSE_H_
