#ifndef PACKAGES_CALLER_PENDING_RESULT_H_
#define PACKAGES_CALLER_PENDING_RESULT_H_

#include <memory>
#include <optional>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Holds a result that a callback sets once and a thread waits for. The callback
// and the waiting thread share ownership, since the callback may run after the
// wait has timed out.
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

  // Waits for the result and moves it out. Returns nullopt after a timeout.
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
