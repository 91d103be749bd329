#include "packages/base/assert.h"

#include <cstdio>
#include <cstdlib>

namespace bramleyrail {

void FailAssertion(std::string_view condition,
                   std::string_view file,
                   int line,
                   std::string_view message) {
  // Standard error rather than the log: the asynchronous log would lose the
  // line when the process aborts.
  std::fprintf(stderr, "invariant violated: %.*s (%.*s) at %.*s:%d\n",
               static_cast<int>(message.size()), message.data(),
               static_cast<int>(condition.size()), condition.data(),
               static_cast<int>(file.size()), file.data(), line);
  std::abort();
}

}  // namespace bramleyrail
