#include "packages/base/identifier.h"

#include <algorithm>
#include <cstdint>

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace bramleyrail {

namespace {

constexpr size_t kMaximumNameLength = 63;
constexpr size_t kMaximumRequestIdLength = 128;

bool IsNameEdge(char character) {
  return absl::ascii_islower(character) || absl::ascii_isdigit(character);
}

bool IsNameCharacter(char character) {
  return IsNameEdge(character) || character == '-' || character == '.';
}

bool IsRequestIdCharacter(char character) {
  return absl::ascii_isgraph(character) && character != '/';
}

}  // namespace

std::string NewUniqueId() {
  thread_local absl::BitGen generator;
  return absl::StrFormat("%016x%016x", absl::Uniform<uint64_t>(generator),
                         absl::Uniform<uint64_t>(generator));
}

Result<void> ValidateName(std::string_view name) {
  const bool valid = !name.empty() && name.size() <= kMaximumNameLength &&
                     IsNameEdge(name.front()) && IsNameEdge(name.back()) &&
                     std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!valid) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "'" + std::string(name) + "' is not a valid name",
                     "use 1 to 63 characters out of a-z, 0-9, '-' and '.', "
                     "starting and ending with a letter or digit");
  }
  return Success();
}

Result<void> ValidateRequestId(std::string_view id) {
  const bool valid = !id.empty() && id.size() <= kMaximumRequestIdLength &&
                     std::all_of(id.begin(), id.end(), IsRequestIdCharacter);
  if (!valid) {
    return MakeError(ErrorKind::kInvalidArgument, "the id is not valid",
                     "use 1 to 128 printable ASCII characters without spaces "
                     "and without '/'");
  }
  return Success();
}

}  // namespace bramleyrail
