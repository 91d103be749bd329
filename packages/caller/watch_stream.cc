#include "packages/caller/watch_stream.h"

#include <utility>

namespace bramleyrail {

void WatchStream::Add(int64_t position, std::string line) {
  absl::MutexLock lock(&mutex_);
  last_received_ = std::chrono::steady_clock::now();
  if (end_reason_.has_value()) {
    return;
  }
  if (position != next_position_) {
    EndLocked("events were lost between the owner and the entry instance");
    return;
  }
  ++next_position_;
  if (line.empty()) {
    return;
  }
  if (lines_.size() >= kMaximumLines) {
    EndLocked("the caller reads too slowly: too many lines wait to be sent");
    return;
  }
  lines_.push_back(std::move(line));
}

void WatchStream::End(std::string reason) {
  absl::MutexLock lock(&mutex_);
  EndLocked(std::move(reason));
}

void WatchStream::EndLocked(std::string reason) {
  if (!end_reason_.has_value()) {
    end_reason_ = std::move(reason);
  }
}

std::optional<WatchStream::Item> WatchStream::Take(Milliseconds timeout) {
  const auto has_item = [this] {
    mutex_.AssertReaderHeld();
    return !lines_.empty() || end_reason_.has_value();
  };
  absl::MutexLock lock(&mutex_);
  if (!mutex_.AwaitWithTimeout(absl::Condition(&has_item),
                               absl::Milliseconds(timeout.count()))) {
    return std::nullopt;
  }
  // Lines that were added before the end are still delivered.
  if (lines_.empty()) {
    return Item{true, *end_reason_};
  }
  Item item{false, std::move(lines_.front())};
  lines_.pop_front();
  return item;
}

Milliseconds WatchStream::TimeSinceLastMessage() const {
  absl::MutexLock lock(&mutex_);
  return std::chrono::floor<Milliseconds>(std::chrono::steady_clock::now() -
                                          last_received_);
}

}  // namespace bramleyrail
