#ifndef PACKAGES_PEER_EVENT_LOOP_H_
#define PACKAGES_PEER_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "packages/base/base.h"

namespace bramleyrail {

// Waits on file descriptors with epoll. Only Wake() may be called from other
// threads than the one that waits.
class EventLoop {
 public:
  static Result<std::unique_ptr<EventLoop>> Create();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Adds the epoll events that Wait() finds to `*ready_events`, which must stay
  // valid until Unwatch().
  void Watch(int descriptor, uint32_t events, uint32_t* ready_events);
  void ChangeEvents(int descriptor, uint32_t events);
  void Unwatch(int descriptor);

  // Returns on an event, on Wake(), or when `deadline` has passed.
  void Wait(std::optional<MonotonicTime> deadline);
  void Wake();

 private:
  EventLoop(FileDescriptor epoll, FileDescriptor wake_event);
  void Control(int operation, int descriptor, uint32_t events);

  FileDescriptor epoll_;
  FileDescriptor wake_event_;
  std::atomic<bool> wake_pending_ = false;
  absl::flat_hash_map<int, uint32_t*> ready_events_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_EVENT_LOOP_H_
