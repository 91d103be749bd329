#include "packages/worker/change_notifier.h"

#include "absl/time/time.h"
#include "packages/worker/worker_view.h"

namespace bramleyrail {

namespace {

// Bounds the time that Stop takes.
constexpr Milliseconds kRevisionWait{200};

// At the peak the log moves several hundred times a second. Comparing the
// waiting workers once in this time keeps the cost below 2% of a core for 100
// workers with 25 tasks, and adds little to a start.
constexpr Milliseconds kCoalesceTime{20};

}  // namespace

ChangeNotifier::ChangeNotifier(const StateAccess* state) : state_(state) {}

ChangeNotifier::~ChangeNotifier() {
  Stop();
}

void ChangeNotifier::Start() {
  absl::MutexLock lock(&mutex_);
  running_ = true;
  thread_ = std::thread([this] { Follow(); });
}

void ChangeNotifier::Stop() {
  StopWaiting();
  {
    absl::MutexLock lock(&mutex_);
    running_ = false;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ChangeNotifier::StopWaiting() {
  absl::MutexLock lock(&mutex_);
  waiting_allowed_ = false;
  for (Waiter* waiter : waiters_) {
    waiter->wake.Signal();
  }
}

bool ChangeNotifier::IsChanged(const Waiter& waiter) const {
  bool changed = false;
  state_->read([&](const ClusterState& state) {
    changed = WorkerVersion(state, waiter.worker, waiter.boot_id) !=
              waiter.known_version;
  });
  return changed;
}

void ChangeNotifier::WaitForChange(std::string_view worker,
                                   std::string_view boot_id,
                                   uint64_t known_version,
                                   Milliseconds timeout) {
  const absl::Time deadline = absl::Now() + absl::FromChrono(timeout);
  Waiter waiter{std::string(worker), std::string(boot_id), known_version};
  std::list<Waiter*>::iterator position;
  {
    absl::MutexLock lock(&mutex_);
    position = waiters_.insert(waiters_.end(), &waiter);
  }
  // Compared after the insertion, so that no change falls between the two.
  const bool changed = IsChanged(waiter);
  absl::MutexLock lock(&mutex_);
  while (!changed && !waiter.changed && waiting_allowed_) {
    if (waiter.wake.WaitWithDeadline(&mutex_, deadline)) {
      break;
    }
  }
  waiters_.erase(position);
}

void ChangeNotifier::Follow() {
  int64_t revision = 0;
  while (true) {
    const int64_t current = state_->wait_for_revision(revision, kRevisionWait);
    if (current != revision) {
      revision = current;
      WakeChanged();
    }
    absl::MutexLock lock(&mutex_);
    const auto stopped = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return !running_;
    };
    if (mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                absl::FromChrono(kCoalesceTime))) {
      return;
    }
  }
}

void ChangeNotifier::WakeChanged() {
  state_->read([&](const ClusterState& state) {
    absl::MutexLock lock(&mutex_);
    for (Waiter* waiter : waiters_) {
      if (WorkerVersion(state, waiter->worker, waiter->boot_id) !=
          waiter->known_version) {
        waiter->changed = true;
        waiter->wake.Signal();
      }
    }
  });
}

}  // namespace bramleyrail
