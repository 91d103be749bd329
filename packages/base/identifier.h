#ifndef PACKAGES_BASE_IDENTIFIER_H_
#define PACKAGES_BASE_IDENTIFIER_H_

#include <string>
#include <string_view>

#include "packages/base/error.h"

namespace bramleyrail {

// Returns 32 random hexadecimal digits.
std::string NewUniqueId();

// Checks a resource, instance or caller name: 1 to 63 characters out of a-z,
// 0-9, '-' and '.', starting and ending with a letter or digit.
Result<void> ValidateName(std::string_view name);

// Checks a request or change id: 1 to 128 printable ASCII characters without
// spaces and without '/', since ids stand in URLs.
Result<void> ValidateRequestId(std::string_view id);

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_IDENTIFIER_H_
