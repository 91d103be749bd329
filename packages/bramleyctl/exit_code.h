#ifndef PACKAGES_BRAMLEYCTL_EXIT_CODE_H_
#define PACKAGES_BRAMLEYCTL_EXIT_CODE_H_

#include "packages/base/base.h"

namespace bramleyrail {

// Scripts rely on these numbers.
enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,  // Refused or failed.
  kWrongUsage = 2,
  kNotFound = 3,
  kConflict = 4,
  kUnavailable = 5,  // Not possible now, or the outcome is not known.
};

ExitCode ExitCodeOf(ErrorKind kind);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_EXIT_CODE_H_
