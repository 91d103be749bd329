#ifndef PACKAGES_CALLER_PENDING_RESULT_H_
#define PACKAGES_CALLER_PENDING_RESULT_H_

#include <memory>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Turns a callback into something that a thread can wait for. Shared with the
// callback, which may come after the waiter has given up.
template <typename T>
class PendingResult {
 public:
  void Set(Result<T> result) {
    absl::MutexLock lock(&mutex_);
    if (!result_.has_value()) {
      result_.emplace(std::move(result));
      is_set_ = true;
    }
  }

  // nullopt when nothing came in time.
  std::optional<Result<T>> Wait(Milliseconds timeout) {
    absl::MutexLock lock(&mutex_);
    const absl::Condition is_set(&is_set_);
    mutex_.AwaitWithTimeout(is_set, absl::Milliseconds(timeout.count()));
    return std::move(result_);
  }

 private:
  absl::Mutex mutex_;
  bool is_set_ ABSL_GUARDED_BY(mutex_) = false;
  std::optional<Result<T>> result_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_PENDING_RESULT_H_
