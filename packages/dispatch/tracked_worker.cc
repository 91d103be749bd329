#include "packages/dispatch/tracked_worker.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// A worker's clock may run slower than the leader's by this many thousandths.
constexpr int64_t kMaximumClockSlownessPermille = 20;
// Delays of messages may differ by this much.
constexpr int64_t kMaximumExtraDelayMs = 200;
// A worker that was paused stops its runs within this time after it resumes.
constexpr Milliseconds kLeaseExpiryMargin{400};

}  // namespace

bool MayRunOnLaterIncarnation(const TrackedRun& run) {
  return run.from_earlier_leader ? !run.listed
                                 : run.orders_sent > (run.listed ? 1 : 0);
}

TrackedWorker::TrackedWorker(WorkerRegistration registration) {
  Update(registration);
}

void TrackedWorker::Update(const WorkerRegistration& registration) {
  registration_ = registration;
  // The labels are the kind of the worker and its rack, in this order.
  rack_ = registration_.labels.size() > 1 ? registration_.labels.back() : "";
}

WorkerAddress TrackedWorker::Address() const {
  return {registration_.id, registration_.started_unix_ms,
          registration_.address};
}

void TrackedWorker::ObserveClock(int64_t clock_ms, MonotonicTime received) {
  if (clock_) {
    // A delayed message would make the clock appear slow and the next lease too
    // short, so it is ignored.
    const int64_t elapsed_ms =
        std::chrono::floor<Milliseconds>(received - clock_->second).count();
    const int64_t slowest_ms =
        clock_->first +
        elapsed_ms * (1'000 - 2 * kMaximumClockSlownessPermille) / 1'000;
    if (clock_ms < slowest_ms - kMaximumExtraDelayMs) {
      return;
    }
  }
  clock_ = {clock_ms, received};
}

std::optional<int64_t> TrackedWorker::GrantLease(Milliseconds lease,
                                                 MonotonicTime now) {
  if (!clock_) {
    return std::nullopt;
  }
  const int64_t elapsed_ms =
      std::chrono::floor<Milliseconds>(now - clock_->second).count();
  const int64_t until_ms = clock_->first + elapsed_ms + lease.count();
  granted_until_ms_ = std::max(granted_until_ms_.value_or(until_ms), until_ms);
  return until_ms;
}

std::optional<StartValidity> TrackedWorker::GrantStartLease(Milliseconds lease,
                                                            MonotonicTime now) {
  const auto until_ms = GrantLease(lease, now);
  if (!until_ms) {
    return std::nullopt;
  }
  // The last known clock is behind by the delay of the message that told it.
  return StartValidity{*until_ms,
                       now + lease - Milliseconds(kMaximumExtraDelayMs)};
}

std::optional<MonotonicTime> TrackedWorker::LeaseDeadline() const {
  if (!granted_until_ms_ || !clock_) {
    return assumed_until_;
  }
  const int64_t left_ms = *granted_until_ms_ - clock_->first;
  const MonotonicTime deadline =
      clock_->second +
      Milliseconds(left_ms * 1'000 / (1'000 - kMaximumClockSlownessPermille)) +
      kLeaseExpiryMargin;
  return std::max(deadline, assumed_until_.value_or(deadline));
}

TrackedRun& TrackedWorker::AddRun(const RunKey& key, TrackedRun run) {
  const auto [position, inserted] = runs_.emplace(key, std::move(run));
  best_effort_estimate.reset();
  if (inserted) {
    UpdateReserved(position->second, 1);
  }
  return position->second;
}

void TrackedWorker::RemoveRun(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end()) {
    UpdateReserved(found->second, -1);
    runs_.erase(found);
    best_effort_estimate.reset();
  }
}

TrackedRun* TrackedWorker::FindRun(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

const TrackedRun* TrackedWorker::FindRun(const RunKey& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

bool TrackedWorker::HasRecentRun(MonotonicTime now) const {
  return std::any_of(runs_.begin(), runs_.end(), [now](const auto& item) {
    return now - item.second.started < kCrashAttributionTime;
  });
}

void TrackedWorker::UpdateReserved(const TrackedRun& run, int64_t sign) {
  runs_of_unknown_size_ += run.step == nullptr ? sign : 0;
  const bool best_effort = run.step != nullptr && run.step->best_effort;
  reserved_.memory_mib += sign * run.reserved.memory_mib;
  reserved_.accelerators += sign * run.reserved.accelerators;
  (best_effort ? best_effort_processor_millis_ : reserved_.processor_millis) +=
      sign * run.reserved.processor_millis;
  if (run.step != nullptr && run.step->long_running) {
    reserved_for_long_.memory_mib += sign * run.reserved.memory_mib;
    reserved_for_long_.accelerators += sign * run.reserved.accelerators;
    reserved_for_long_.processor_millis +=
        best_effort ? 0 : sign * run.reserved.processor_millis;
  }
}

int64_t TrackedWorker::CountRunsOfStep(const SharedText& job,
                                       int64_t occurrence,
                                       int64_t step) const {
  const TaskName first{job, occurrence, step, 0};
  int64_t count = 0;
  for (auto run = runs_.lower_bound({first, 0});
       run != runs_.end() && run->first.first.job == job &&
       run->first.first.occurrence == occurrence &&
       run->first.first.step == step;
       ++run) {
    ++count;
  }
  return count;
}

}  // namespace bramleyrail
