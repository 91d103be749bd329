#ifndef PACKAGES_BASE_ASSERT_H_
#define PACKAGES_BASE_ASSERT_H_

#include <string_view>

namespace bramleyrail {

// Logs the failed invariant with its source position and aborts the process.
[[noreturn]] void FailAssertion(std::string_view condition,
                                std::string_view file,
                                int line,
                                std::string_view message);

}  // namespace bramleyrail

// Checks an invariant in every build type. Continuing after a broken invariant
// could run work twice, so the process aborts instead.
#define BRAMLEYRAIL_ASSERT(condition, message)                                 \
  do {                                                                         \
    if (!(condition)) [[unlikely]] {                                           \
      ::bramleyrail::FailAssertion(#condition, __FILE__, __LINE__, (message)); \
    }                                                                          \
  } while (false)

#endif  // PACKAGES_BASE_ASSERT_H_
