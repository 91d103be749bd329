#ifndef PACKAGES_OPERATOR_DIFFERENCE_H_
#define PACKAGES_OPERATOR_DIFFERENCE_H_

#include "packages/state/state.h"

namespace bramleyrail {

// {"kind", "name", "action", "fields"}: what an apply would do to a resource;
// `before` is null for a new one.
Json DifferenceOf(const Resource* before, const Resource& after);

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_DIFFERENCE_H_
