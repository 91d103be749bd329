#ifndef PACKAGES_WORKER_CHANGE_NOTIFIER_H_
#define PACKAGES_WORKER_CHANGE_NOTIFIER_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Holds back the polls of workers until something that concerns the worker has
// changed. One thread follows the log and looks only at the workers that wait
// here; the others sleep through changes that do not concern them.
class ChangeNotifier {
 public:
  explicit ChangeNotifier(const StateAccess* state);
  ~ChangeNotifier();

  void Start();
  // Ends all waits, now and later, and the thread.
  void Stop();
  // Ends all waits, now and later.
  void StopWaiting();

  // Blocks until the version differs from the known one or the time is up.
  void WaitForChange(std::string_view worker,
                     std::string_view boot_id,
                     uint64_t known_version,
                     Milliseconds timeout);

 private:
  struct Waiter {
    std::string worker;
    std::string boot_id;
    uint64_t known_version = 0;
    bool changed = false;
    absl::CondVar wake;
  };

  void Follow();
  void WakeChanged();
  bool IsChanged(const Waiter& waiter) const;

  const StateAccess* state_;
  std::thread thread_;
  absl::Mutex mutex_;
  bool waiting_allowed_ ABSL_GUARDED_BY(mutex_) = true;
  bool running_ ABSL_GUARDED_BY(mutex_) = false;
  std::list<Waiter*> waiters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_CHANGE_NOTIFIER_H_
