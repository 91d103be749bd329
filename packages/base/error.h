#ifndef PACKAGES_BASE_ERROR_H_
#define PACKAGES_BASE_ERROR_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bramleyrail {

enum class ErrorKind {
  kInvalidArgument,     // The input is wrong; `faults` lists each field.
  kNotFound,            // No such resource, request or peer.
  kConflict,            // Another change came first.
  kCompacted,           // The requested revision is no longer in the history.
  kResourceExhausted,   // A limit, quota or capacity is used up.
  kUnavailable,         // Not possible now; certainly not executed.
  kOutcomeUnknown,      // May or may not have been executed.
  kDeadlineExceeded,    // The time allowed ran out.
  kFailedPrecondition,  // The state of the system does not allow it.
  kDataLoss,            // Stored or received data is damaged.
  kStorage,             // The disk refused a write or a sync.
  kInternal,            // A fault of bramleyrail itself.
};

// Returns the stable lower-case name used in logs and JSON ("not_found").
std::string_view ErrorKindName(ErrorKind kind);

// One fault of a declaration or a settings file.
struct FieldFault {
  std::string path;     // For example "spec.size.memory_mib".
  std::string message;  // What is wrong and what to write instead.
};

struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;  // What the reader can do about it.
  std::vector<FieldFault> faults;

  // Message, faults and remedy in one line.
  std::string ToString() const;
};

Error MakeError(ErrorKind kind, std::string message, std::string remedy);

// Builds a kInvalidArgument error out of all faults found in one input.
Error MakeInvalidArgument(std::string message, std::vector<FieldFault> faults);

template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// The value of a successful Result<void>.
inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace bramleyrail

// Returns the error to the caller, or binds the value: TRY(value, Expression())
// or TRY(Expression()) for Result<void>.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)

#endif  // PACKAGES_BASE_ERROR_H_
