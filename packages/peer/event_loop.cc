#include "packages/peer/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

// More than there are descriptors: after a pause of the process, every
// connection is read before any is judged silent.
constexpr int kEventsAtOnce = 1024;

int TimeoutUntil(std::optional<MonotonicTime> deadline) {
  if (!deadline.has_value()) {
    return -1;
  }
  // Rounds up, so that the deadline has passed when the wait ends.
  const auto remaining = std::chrono::ceil<Milliseconds>(
      *deadline - std::chrono::steady_clock::now());
  return static_cast<int>(
      std::clamp<int64_t>(remaining.count(), 0, Milliseconds(60'000).count()));
}

}  // namespace

Result<std::unique_ptr<EventLoop>> EventLoop::Create() {
  FileDescriptor epoll(epoll_create1(EPOLL_CLOEXEC));
  if (!epoll.is_open()) {
    return MakeSystemError("cannot create an epoll instance", errno);
  }
  FileDescriptor wake_event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!wake_event.is_open()) {
    return MakeSystemError("cannot create an event descriptor", errno);
  }
  return std::unique_ptr<EventLoop>(
      new EventLoop(std::move(epoll), std::move(wake_event)));
}

EventLoop::EventLoop(FileDescriptor epoll, FileDescriptor wake_event)
    : epoll_(std::move(epoll)), wake_event_(std::move(wake_event)) {
  Control(EPOLL_CTL_ADD, wake_event_.number(), EPOLLIN);
}

void EventLoop::Watch(int descriptor, uint32_t events, uint32_t* ready_events) {
  ready_events_[descriptor] = ready_events;
  Control(EPOLL_CTL_ADD, descriptor, events);
}

void EventLoop::ChangeEvents(int descriptor, uint32_t events) {
  Control(EPOLL_CTL_MOD, descriptor, events);
}

void EventLoop::Unwatch(int descriptor) {
  ready_events_.erase(descriptor);
  Control(EPOLL_CTL_DEL, descriptor, 0);
}

void EventLoop::Control(int operation, int descriptor, uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  const int outcome = epoll_ctl(epoll_.number(), operation, descriptor, &event);
  BRAMLEYRAIL_ASSERT(outcome == 0, "epoll refused a valid descriptor");
}

void EventLoop::Wait(std::optional<MonotonicTime> deadline) {
  std::array<epoll_event, kEventsAtOnce> events;
  const int count = epoll_wait(epoll_.number(), events.data(), kEventsAtOnce,
                               TimeoutUntil(deadline));
  for (int i = 0; i < count; ++i) {
    const int descriptor = events[i].data.fd;
    if (descriptor == wake_event_.number()) {
      // The flag is cleared after the read: in the other order, the read could
      // take the event of a later Wake() and leave the flag set, and no wake
      // would get through any more.
      uint64_t wakes = 0;
      (void)!read(descriptor, &wakes, sizeof(wakes));
      wake_pending_.store(false);
      continue;
    }
    const auto found = ready_events_.find(descriptor);
    if (found != ready_events_.end()) {
      *found->second |= events[i].events;
    }
  }
}

void EventLoop::Wake() {
  if (wake_pending_.exchange(true)) {
    return;
  }
  const uint64_t one = 1;
  (void)!write(wake_event_.number(), &one, sizeof(one));
}

}  // namespace bramleyrail
