#ifndef PACKAGES_CALLER_WATCH_STREAM_H_
#define PACKAGES_CALLER_WATCH_STREAM_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// A bounded queue of the lines of one watch, from the owner to the caller. It
// delivers lines in order and ends the stream at a gap. Any thread may add
// lines; one thread takes them.
class WatchStream {
 public:
  static constexpr size_t kMaximumLines = 1024;

  struct Item {
    bool is_end = false;
    std::string text;  // A line, or the reason why the stream ended.
  };

  // Adds a line. `position` counts from 1; a gap ends the stream. An empty line
  // is a keep-alive message of the owner and is not delivered.
  void Add(int64_t position, std::string line);
  // Ends the stream. The first reason is kept.
  void End(std::string reason);

  // Removes and returns the next item. Returns nullopt after a timeout.
  std::optional<Item> Take(Milliseconds timeout);

  // Time since the last line of the owner, including empty lines.
  Milliseconds TimeSinceLastMessage() const;

 private:
  void EndLocked(std::string reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::deque<std::string> lines_ ABSL_GUARDED_BY(mutex_);
  std::optional<std::string> end_reason_ ABSL_GUARDED_BY(mutex_);
  int64_t next_position_ ABSL_GUARDED_BY(mutex_) = 1;
  MonotonicTime last_received_ ABSL_GUARDED_BY(mutex_) =
      std::chrono::steady_clock::now();
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_WATCH_STREAM_H_
