#ifndef PACKAGES_BRAMLEYCTL_DIFFERENCE_TEXT_H_
#define PACKAGES_BRAMLEYCTL_DIFFERENCE_TEXT_H_

#include <string>

#include "packages/base/base.h"

namespace bramleyrail {

// The difference that the answer to a dry run lists, for people: one line for
// each resource that would change, and one for each field, with '+' for what
// is new, '-' for what goes away and '~' for what changes.
std::string DifferenceText(const Json& answer);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_DIFFERENCE_TEXT_H_
