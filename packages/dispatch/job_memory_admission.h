#ifndef PACKAGES_DISPATCH_JOB_MEMORY_ADMISSION_H_
#define PACKAGES_DISPATCH_JOB_MEMORY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "packages/dispatch/admission_decision.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// Compares the memory that accepted jobs take at most with what the process has
// for them. What is accepted stays in memory until it ends, on each instance
// that follows the queues, so a job without room must not be stored.
class JobMemoryAdmission {
 public:
  // `maximum_bytes` is the memory for the jobs of the state; 0: no limit.
  explicit JobMemoryAdmission(int64_t maximum_bytes,
                              UniformRandom random = MakeUniformRandom());

  // Rejects a job that would exceed the memory beside the other jobs. An
  // admitted one counts until the state contains it, or all requests for it are
  // withdrawn. kInvalidArgument for a job that has no room even alone.
  Result<AdmissionDecision> Decide(const QueueState& state,
                                   const SubmitJob& job,
                                   MonotonicTime now);
  // A request for the job has certainly not stored it.
  void Withdraw(std::string_view id);
  // The state contains the job.
  void MarkStored(std::string_view id);

  // Whether records that no job reserves have room beside the jobs. Jobs are
  // accepted only up to a part of the memory, so that some is left for these.
  bool HasRoomForOverlap(const QueueState& state, int64_t bytes) const {
    return maximum_bytes_ == 0 ||
           state.job_bytes() + pending_bytes_ + bytes <= maximum_bytes_;
  }

  int64_t maximum_bytes() const { return maximum_bytes_; }
  uint64_t rejected() const { return rejected_; }

 private:
  struct PendingJob {
    int64_t bytes = 0;
    int64_t requests = 1;
  };

  int64_t AdmissionLimit() const;
  void Erase(std::map<std::string, PendingJob, std::less<>>::iterator job);

  const int64_t maximum_bytes_;
  const UniformRandom random_;
  std::map<std::string, PendingJob, std::less<>> pending_;
  int64_t pending_bytes_ = 0;
  uint64_t rejected_ = 0;
  LogRateLimit rejected_lines_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_JOB_MEMORY_ADMISSION_H_
