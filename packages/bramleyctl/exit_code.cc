#include "packages/bramleyctl/exit_code.h"

namespace bramleyrail {

ExitCode ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNotFound:
      return ExitCode::kNotFound;
    case ErrorKind::kConflict:
      return ExitCode::kConflict;
    case ErrorKind::kUnavailable:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kDeadlineExceeded:
      return ExitCode::kUnavailable;
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kCompacted:
    case ErrorKind::kResourceExhausted:
    case ErrorKind::kFailedPrecondition:
    case ErrorKind::kDataLoss:
    case ErrorKind::kStorage:
    case ErrorKind::kInternal:
      return ExitCode::kFailed;
  }
  BRAMLEYRAIL_ASSERT(false, "unknown error kind");
}

}  // namespace bramleyrail
