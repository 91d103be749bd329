#include "packages/base/error.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/base/assert.h"

namespace bramleyrail {

std::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kCompacted:
      return "compacted";
    case ErrorKind::kResourceExhausted:
      return "resource_exhausted";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kFailedPrecondition:
      return "failed_precondition";
    case ErrorKind::kDataLoss:
      return "data_loss";
    case ErrorKind::kStorage:
      return "storage";
    case ErrorKind::kInternal:
      return "internal";
  }
  BRAMLEYRAIL_ASSERT(false, "unknown error kind");
}

std::string Error::ToString() const {
  std::string text = absl::StrCat(
      absl::string_view(ErrorKindName(kind).data(), ErrorKindName(kind).size()),
      ": ", message);
  for (const FieldFault& fault : faults) {
    absl::StrAppend(&text, "; ", fault.path, ": ", fault.message);
  }
  if (!remedy.empty()) {
    absl::StrAppend(&text, " (", remedy, ")");
  }
  return text;
}

Error MakeError(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), {}};
}

Error MakeInvalidArgument(std::string message, std::vector<FieldFault> faults) {
  return Error{ErrorKind::kInvalidArgument, std::move(message),
               "correct the listed fields and send the whole input again",
               std::move(faults)};
}

}  // namespace bramleyrail
