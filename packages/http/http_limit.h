#ifndef PACKAGES_HTTP_HTTP_LIMIT_H_
#define PACKAGES_HTTP_HTTP_LIMIT_H_

#include <cstddef>
#include <string_view>

namespace bramleyrail {

// What a client may not exceed.
enum class HttpLimit {
  kHeader,        // Request line and header fields.
  kBody,          // Content of the body.
  kChunkFraming,  // A chunk extension or the trailer section.
  kHeaderTime,    // From the first byte to the end of the header.
  kBodyTime,      // From the end of the header to the end of the body.
  kResponseTime,  // Taking the response.
  kMemory,        // What all connections together make the process keep.
  kConnections,   // Open connections of a server.
};
inline constexpr size_t kHttpLimitCount = 8;

// The name in metrics and in the log.
std::string_view HttpLimitName(HttpLimit limit);

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_HTTP_LIMIT_H_
