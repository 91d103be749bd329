#include "packages/dispatch/job_memory_admission.h"

#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatch_events.h"

namespace bramleyrail {

namespace {

// The rest is for occurrences that run beside each other.
constexpr int64_t kAdmissionPercent = 75;
// Ended jobs leave the memory only after they could be read for some time, so
// room is rarely back sooner.
constexpr double kRetryMs = 10'000;
constexpr int64_t kLogLinesPerSecond = 2;

}  // namespace

JobMemoryAdmission::JobMemoryAdmission(int64_t maximum_bytes,
                                       UniformRandom random)
    : maximum_bytes_(maximum_bytes),
      random_(std::move(random)),
      rejected_lines_(kLogLinesPerSecond) {}

int64_t JobMemoryAdmission::AdmissionLimit() const {
  return maximum_bytes_ / 100 * kAdmissionPercent;
}

Result<AdmissionDecision> JobMemoryAdmission::Decide(const QueueState& state,
                                                     const SubmitJob& job,
                                                     MonotonicTime now) {
  // A request that is sent again has to get the answer of the first one.
  if (maximum_bytes_ == 0 || state.FindJob(job.id) != nullptr) {
    return AdmissionDecision();
  }
  if (const auto pending = pending_.find(job.id); pending != pending_.end()) {
    ++pending->second.requests;
    return AdmissionDecision();
  }
  const int64_t bytes = BytesOfOpenJob(job.specification);
  if (bytes > AdmissionLimit()) {
    return MakeInvalidArgument(
        "the job is too large",
        {{"steps", absl::StrCat("take up to ", bytes,
                                " bytes of memory, and all jobs may take ",
                                AdmissionLimit())}});
  }
  if (state.job_bytes() + pending_bytes_ + bytes <= AdmissionLimit()) {
    pending_.emplace(job.id, PendingJob{bytes});
    pending_bytes_ += bytes;
    return AdmissionDecision();
  }
  ++rejected_;
  // Twice the spread keeps the callers of a crowd from coming back as one.
  const AdmissionDecision decision{
      false, Milliseconds(std::llround(kRetryMs * (1 + random_())))};
  if (rejected_lines_.Allow(now)) {
    LogEvent(kJobMemoryFull,
             {{"job", job.id},
              {"queue", job.queue},
              {"bytes", bytes},
              {"stored_bytes", state.job_bytes()},
              {"pending_bytes", pending_bytes_},
              {"limit_bytes", AdmissionLimit()},
              {"retry_after_ms", decision.retry_after.count()},
              {"suppressed", rejected_lines_.TakeSuppressed()}});
  }
  return decision;
}

void JobMemoryAdmission::Erase(
    std::map<std::string, PendingJob, std::less<>>::iterator job) {
  pending_bytes_ -= job->second.bytes;
  pending_.erase(job);
}

void JobMemoryAdmission::Withdraw(std::string_view id) {
  const auto pending = pending_.find(id);
  if (pending != pending_.end() && --pending->second.requests == 0) {
    Erase(pending);
  }
}

void JobMemoryAdmission::MarkStored(std::string_view id) {
  const auto pending = pending_.find(id);
  if (pending != pending_.end()) {
    Erase(pending);
  }
}

}  // namespace bramleyrail
