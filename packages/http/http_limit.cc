#include "packages/http/http_limit.h"

#include <array>

namespace bramleyrail {

std::string_view HttpLimitName(HttpLimit limit) {
  static constexpr std::array<std::string_view, kHttpLimitCount> kNames = {
      "header",    "body",          "chunk_framing", "header_time",
      "body_time", "response_time", "memory",        "connections"};
  return kNames[static_cast<size_t>(limit)];
}

}  // namespace bramleyrail
