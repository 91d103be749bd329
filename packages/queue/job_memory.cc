#include "packages/queue/job_memory.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace bramleyrail {

namespace {

// The leader's record, its entry in the list of tasks to start, the stored
// progress, and the copies of that in snapshots.
constexpr int64_t kBytesPerTask = 800;
// Without their texts and lists.
constexpr int64_t kBytesPerEndedJob = 1'200;
constexpr int64_t kBytesPerEndedStep = 500;
// What the leader adds while the job is open.
constexpr int64_t kBytesPerTrackedJob = 1'000;
constexpr int64_t kBytesPerTrackedStep = 400;
// The state, two of the leader, the newest snapshot, and the growing buffer of
// the next one, which is written through another.
constexpr int64_t kCopies = 8;
// Further bytes of an escaped control character in the leader's copy, which is
// JSON.
constexpr int64_t kLongestEscape = 5;

int64_t BytesOfPayload(std::string_view payload) {
  const auto escaped =
      std::count_if(payload.begin(), payload.end(),
                    [](char c) { return static_cast<unsigned char>(c) < ' '; });
  return kCopies * std::ssize(payload) + kLongestEscape * escaped;
}

}  // namespace

int64_t BytesOfOccurrence(const JobSpecification& job) {
  int64_t tasks = 0;
  for (const JobStep& step : job.steps) {
    tasks += step.tasks;
  }
  return tasks * kBytesPerTask;
}

int64_t ReservedOccurrences(const JobSpecification& job) {
  const bool finishes =
      std::none_of(job.steps.begin(), job.steps.end(),
                   [](const JobStep& step) { return step.long_running; });
  return finishes ? 1 : job.OccurrenceCount();
}

int64_t BytesOfEndedJob(const JobSpecification& job) {
  int64_t bytes = kBytesPerEndedJob + BytesOfPayload(job.payload);
  for (const JobStep& step : job.steps) {
    const int64_t variable =
        std::ssize(step.required_label) + std::ssize(step.data_rack) +
        std::ssize(step.image) +
        std::ssize(step.predecessors) *
            static_cast<int64_t>(sizeof(step.predecessors.front()));
    bytes += kBytesPerEndedStep + kCopies * variable;
  }
  return bytes;
}

int64_t BytesOfOpenJob(const JobSpecification& job) {
  return BytesOfEndedJob(job) + kBytesPerTrackedJob +
         std::ssize(job.steps) * kBytesPerTrackedStep +
         ReservedOccurrences(job) * BytesOfOccurrence(job);
}

}  // namespace bramleyrail
