#ifndef PACKAGES_CALLER_WATCH_STREAM_H_
#define PACKAGES_CALLER_WATCH_STREAM_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// The lines of one watch on their way to the caller, in order and without
// gaps. One thread takes; any thread adds.
class WatchStream {
 public:
  static constexpr size_t kMaximumLines = 1024;

  struct Item {
    bool is_end = false;
    std::string text;  // A line, or the reason of the end.
  };

  // `position` counts from 1; a gap ends the stream. An empty line only shows
  // that the owner is alive.
  void Add(int64_t position, std::string line);
  void End(std::string reason);

  // Waits for the next item; nullopt when none came in time.
  std::optional<Item> Take(Milliseconds timeout);

  // Time since the owner was last heard of.
  Milliseconds Silence() const;

 private:
  void EndLocked(std::string reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::deque<std::string> lines_ ABSL_GUARDED_BY(mutex_);
  std::optional<std::string> end_reason_ ABSL_GUARDED_BY(mutex_);
  int64_t next_position_ ABSL_GUARDED_BY(mutex_) = 1;
  MonotonicTime last_heard_ ABSL_GUARDED_BY(mutex_) =
      std::chrono::steady_clock::now();
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_WATCH_STREAM_H_
