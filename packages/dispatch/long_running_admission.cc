#include "packages/dispatch/long_running_admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "packages/dispatch/dispatch_events.h"

namespace bramleyrail {

namespace {

// Short work that needs more shares the shortage with long-running work.
// Otherwise a backlog of it could keep long-running jobs out for good.
constexpr int64_t kMaximumShortWorkPercent = 50;
constexpr Milliseconds kWindow{60'000};
// Bounds of the time after which a rejected caller may come back. Callers that
// come back sooner than a job is likely to end only repeat the question; after
// a minute the rate at which jobs end is likely to have changed.
constexpr double kMinimumRetryMs = 1'000;
constexpr double kMaximumRetryMs = 60'000;
// While no job has ended.
constexpr double kUnknownRetryMs = 10'000;
constexpr int64_t kLogLinesPerSecond = 2;

int64_t ProcessorMillis(const JobSpecification& job) {
  return std::accumulate(job.steps.begin(), job.steps.end(), int64_t{0},
                         [](int64_t sum, const JobStep& step) {
                           return sum +
                                  (step.long_running && !step.best_effort
                                       ? step.tasks * step.size.processor_millis
                                       : 0);
                         });
}

// Returns how many tasks have no room.
int64_t PlaceJob(const JobSpecification& job,
                 const ShortWorkNeed& need,
                 PoolRoom* room) {
  int64_t unplaced = 0;
  for (const JobStep& step : job.steps) {
    if (step.long_running) {
      unplaced += room->PlaceLongRunning(step, step.tasks, need);
    }
  }
  return unplaced;
}

}  // namespace

LongRunningAdmission::LongRunningAdmission(UniformRandom random)
    : random_(std::move(random)),
      admitted_lines_(kLogLinesPerSecond),
      rejected_lines_(kLogLinesPerSecond) {}

bool LongRunningAdmission::HasLongRunningStep(const JobSpecification& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const JobStep& step) { return step.long_running; });
}

void LongRunningAdmission::PlaceAdmitted(std::string_view pool,
                                         const ShortWorkNeed& need,
                                         PoolRoom* room) const {
  for (const auto& [id, job] : admitted_) {
    if (job.pool == pool) {
      PlaceJob(job.specification, need, room);
    }
  }
}

AdmissionDecision LongRunningAdmission::Decide(const SubmitJob& job,
                                               PoolRoom room,
                                               MonotonicTime now) {
  AdmissionDecision decision;
  int64_t missing = 0;
  const ShortWorkNeed* need = FindNeed(job);
  if (need != nullptr) {
    const int64_t limit =
        room.capacity_millis() * kMaximumShortWorkPercent / 100;
    const int64_t missing_before = room.MissingFor(*need, limit);
    const int64_t unplaced = PlaceJob(job.specification, *need, &room);
    missing = room.MissingFor(*need, limit);
    // A job that takes nothing of the room that short work needs is welcome,
    // even while that is too little.
    decision.admitted = unplaced == 0 && missing <= missing_before;
  }
  if (decision.admitted) {
    AdmittedJob& admitted = admitted_[job.id];
    admitted.pool = job.pool;
    admitted.specification.steps = job.specification.steps;
  } else {
    decision.retry_after = RetryAfter(
        job.pool, std::max(missing, ProcessorMillis(job.specification)), now);
  }
  Report(job, decision, need, room, missing, now);
  return decision;
}

bool LongRunningAdmission::AdmitAgain(std::string_view id) {
  const auto found = admitted_.find(id);
  if (found == admitted_.end()) {
    return false;
  }
  ++found->second.requests;
  return true;
}

void LongRunningAdmission::Withdraw(std::string_view id) {
  const auto found = admitted_.find(id);
  if (found != admitted_.end() && --found->second.requests == 0) {
    admitted_.erase(found);
  }
}

void LongRunningAdmission::MarkTracked(std::string_view id) {
  const auto found = admitted_.find(id);
  if (found != admitted_.end()) {
    admitted_.erase(found);
  }
}

void LongRunningAdmission::Advance(MonotonicTime now, EndedWork* ended) const {
  const int64_t block = now.time_since_epoch() / (kWindow / kBlocks);
  if (ended->since == MonotonicTime()) {
    ended->since = now;
    ended->block = block;
  }
  const int64_t expired = std::min<int64_t>(block - ended->block, kBlocks);
  for (int64_t number = block - expired + 1; number <= block; ++number) {
    ended->processor_millis[static_cast<size_t>(number % kBlocks)] = 0;
  }
  ended->block = std::max(ended->block, block);
}

void LongRunningAdmission::AddEndedJob(const QueuedJob& job,
                                       MonotonicTime now) {
  if (const int64_t freed = ProcessorMillis(job.specification); freed > 0) {
    EndedWork& ended = ended_[job.pool];
    Advance(now, &ended);
    ended.processor_millis[static_cast<size_t>(ended.block % kBlocks)] += freed;
  }
}

double LongRunningAdmission::FreedPerSecond(std::string_view pool,
                                            MonotonicTime now) {
  const auto found = ended_.find(pool);
  if (found == ended_.end()) {
    return 0;
  }
  EndedWork& ended = found->second;
  Advance(now, &ended);
  const auto span = std::clamp<MonotonicTime::duration>(
      now - ended.since, kWindow / kBlocks, kWindow);
  return static_cast<double>(std::accumulate(ended.processor_millis.begin(),
                                             ended.processor_millis.end(),
                                             int64_t{0})) /
         std::chrono::duration<double>(span).count();
}

Milliseconds LongRunningAdmission::RetryAfter(std::string_view pool,
                                              int64_t missing_millis,
                                              MonotonicTime now) {
  const double rate = FreedPerSecond(pool, now);
  const double expected_ms =
      rate <= 0 ? kUnknownRetryMs
                : std::clamp(static_cast<double>(missing_millis) / rate * 1'000,
                             kMinimumRetryMs, kMaximumRetryMs);
  // Twice the spread of the expected time keeps the callers of a crowd from
  // coming back as one.
  return Milliseconds(std::llround(expected_ms * (1 + random_())));
}

void LongRunningAdmission::Report(const SubmitJob& job,
                                  const AdmissionDecision& decision,
                                  const ShortWorkNeed* need,
                                  const PoolRoom& room,
                                  int64_t missing_millis,
                                  MonotonicTime now) {
  LogRateLimit& lines = decision.admitted ? admitted_lines_ : rejected_lines_;
  if (!lines.Allow(now)) {
    return;
  }
  LogEvent(
      decision.admitted ? kLongRunningAdmitted : kLongRunningRejected,
      {{"job", job.id},
       {"queue", job.queue},
       {"needed_millis", need == nullptr ? 0 : need->peak_processor_millis},
       {"mean_millis", need == nullptr ? 0 : need->mean_processor_millis},
       {"missing_millis", missing_millis},
       {"reserved_millis", room.reserved_millis()},
       {"capacity_millis", room.capacity_millis()},
       {"retry_after_ms", decision.retry_after.count()},
       {"suppressed", lines.TakeSuppressed()}});
}

}  // namespace bramleyrail
