// Changes of the workers of a FakePool: crashes, restarts, capacity.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

namespace {

// After this many crashes of its workers, a task may start fewer times than
// the limit below.
constexpr int kCrashLimit = 3;
constexpr int kStartLimitAfterCrashes = 3;
constexpr uint64_t kMaximumRegistrationDelayMs = 1'500;
constexpr uint64_t kMaximumCrashDelayMs = 300;

}  // namespace

void FakePool::ScheduleCrash(const TaskName& task, Worker* worker) {
  if (crashing_jobs_.contains(task.job) && !worker->crashes_at) {
    worker->crashes_at =
        now_ + Milliseconds(1 + random_() % kMaximumCrashDelayMs);
  }
}

void FakePool::CheckStartsAfterCrashes(const TaskName& task) {
  CrashCount& count = crash_counts_[task];
  if (count.crashes < kCrashLimit ||
      ++count.starts_after_limit < kStartLimitAfterCrashes) {
    return;
  }
  RecordViolation(absl::StrCat(task.ToString(), " starts again although ",
                               count.crashes, " workers crashed under it"));
}

void FakePool::CrashDueWorkers() {
  for (size_t number = 0; number < workers_.size(); ++number) {
    if (!workers_[number].crashes_at || *workers_[number].crashes_at > now_) {
      continue;
    }
    Milliseconds down{0};
    for (const auto& [key, run] : workers_[number].runs) {
      const auto crashing = crashing_jobs_.find(key.first.job);
      if (crashing != crashing_jobs_.end()) {
        ++crash_counts_[key.first].crashes;
        down = std::max(down, crashing->second);
      }
    }
    Crash(static_cast<int>(number), down);
  }
}

void FakePool::Crash(int number, Milliseconds down) {
  ++crashes_;
  Worker& worker = workers_[number];
  Worker next;
  next.registration = worker.registration;
  ++next.registration.started_unix_ms;
  next.clock_start_ms = worker.clock_start_ms;
  next.partitioned = worker.partitioned;
  next.cut = worker.cut;
  next.unreadable = worker.unreadable;
  next.down_until = now_ + down;
  next.registers_at =
      now_ + down + Milliseconds(1 + random_() % kMaximumRegistrationDelayMs);
  const std::map<RunKey, Run> runs = std::move(worker.runs);
  worker = std::move(next);
  for (const auto& [key, run] : runs) {
    if (run.gang_members > 0) {
      BreakGangOf(key);
    }
  }
}

void FakePool::Remove(int number) {
  Crash(number);
  workers_[number].down_until = MonotonicTime::max();
  workers_[number].registers_at.reset();
}

void FakePool::RegisterRestartedWorkers() {
  for (Worker& worker : workers_) {
    if (worker.registers_at && *worker.registers_at <= now_) {
      worker.registers_at.reset();
      Apply(PutWorker{worker.registration});
    }
  }
}

void FakePool::SetDraining(int number) {
  workers_[number].registration.draining = true;
  Register(number);
}

void FakePool::Register(int number) {
  const Worker& worker = workers_[number];
  if (now_ >= worker.down_until && !worker.registers_at) {
    Apply(PutWorker{worker.registration});
  }
}

void FakePool::SetCapacity(int number, const ResourceAmounts& capacity) {
  WorkerRegistration& registration = workers_[number].registration;
  registration.capacity = capacity;
  ++registration.heartbeat_sequence;
  Register(number);
}

}  // namespace bramleyrail
