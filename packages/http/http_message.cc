#include "packages/http/http_message.h"

#include "absl/strings/match.h"

namespace bramleyrail {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key,
                               absl::string_view(name.data(), name.size()))) {
      return value;
    }
  }
  return {};
}

}  // namespace bramleyrail
