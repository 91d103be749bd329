#include "packages/dispatch/worker_track.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

// A worker's clock may run this much slower than ours, in thousandths.
constexpr int64_t kSlowClockPermille = 20;
// Messages may be on their way for this much longer than earlier ones.
constexpr int64_t kClockJitterMs = 200;
// A worker that was paused ends its tasks within this time of waking up.
constexpr Milliseconds kExpiryMargin{400};

}  // namespace

WorkerTrack::WorkerTrack(WorkerRegistration registration) {
  Update(registration);
}

void WorkerTrack::Update(const WorkerRegistration& registration) {
  registration_ = registration;
  // The labels are the worker's kind and its rack, in this order.
  rack_ = registration_.labels.size() > 1 ? registration_.labels.back() : "";
}

WorkerAddress WorkerTrack::Address() const {
  return {registration_.id, registration_.started_unix_ms,
          registration_.address};
}

void WorkerTrack::ObserveClock(int64_t clock_ms, MonotonicTime received) {
  if (clock_) {
    // A message that was long on its way would make the clock look late, and
    // the next lease short.
    const int64_t elapsed_ms =
        std::chrono::floor<Milliseconds>(received - clock_->second).count();
    const int64_t slowest_ms =
        clock_->first + elapsed_ms * (1'000 - 2 * kSlowClockPermille) / 1'000;
    if (clock_ms < slowest_ms - kClockJitterMs) {
      return;
    }
  }
  clock_ = {clock_ms, received};
}

std::optional<int64_t> WorkerTrack::GrantLease(Milliseconds lease,
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

std::optional<MonotonicTime> WorkerTrack::LeaseSurelyEnded() const {
  if (!granted_until_ms_ || !clock_) {
    return std::nullopt;
  }
  const int64_t left_ms = *granted_until_ms_ - clock_->first;
  return clock_->second +
         Milliseconds(left_ms * 1'000 / (1'000 - kSlowClockPermille)) +
         kExpiryMargin;
}

TrackedRun& WorkerTrack::AddRun(const RunKey& key, TrackedRun run) {
  const auto [position, inserted] = runs_.emplace(key, std::move(run));
  outlook.reset();
  if (inserted) {
    Recount(position->second, 1);
  }
  return position->second;
}

void WorkerTrack::RemoveRun(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end()) {
    Recount(found->second, -1);
    runs_.erase(found);
    outlook.reset();
  }
}

TrackedRun* WorkerTrack::FindRun(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

void WorkerTrack::Recount(const TrackedRun& run, int64_t sign) {
  const bool spare = run.step != nullptr && run.step->uses_spare_capacity;
  reserved_.memory_mib += sign * run.reserved.memory_mib;
  reserved_.accelerators += sign * run.reserved.accelerators;
  (spare ? spare_processor_millis_ : reserved_.processor_millis) +=
      sign * run.reserved.processor_millis;
}

int64_t WorkerTrack::RunsOf(const std::string& job,
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
