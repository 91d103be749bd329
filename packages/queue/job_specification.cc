#include "packages/queue/job_specification.h"

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Bound the size of the state that one submission creates.
constexpr size_t kMaximumPayloadBytes = 4'000;
constexpr int64_t kMaximumTasksPerStep = 10'000;
constexpr int64_t kMaximumRepetitions = 1'000;

}  // namespace

Result<void> ValidateJob(const JobSpecification& job) {
  std::vector<FieldFault> faults;
  if (job.payload.size() > kMaximumPayloadBytes) {
    faults.push_back(
        {"payload", absl::StrCat("must have at most ", kMaximumPayloadBytes,
                                 " bytes, but has ", job.payload.size())});
  }
  if (job.steps.empty() || job.steps.size() > kMaximumJobSteps) {
    return MakeInvalidArgument(
        "the job is not valid",
        {{"steps", absl::StrCat("must list 1 to ", kMaximumJobSteps,
                                " steps, but lists ", job.steps.size())}});
  }
  if (job.repetitions < 0 || job.repetitions > kMaximumRepetitions) {
    faults.push_back(
        {"repetitions", absl::StrCat("must be 0 to ", kMaximumRepetitions,
                                     ", but is ", job.repetitions)});
  }
  for (size_t i = 0; i < job.steps.size(); ++i) {
    const JobStep& step = job.steps[i];
    const std::string path = absl::StrCat("steps[", i, "]");
    if (step.tasks < 1 || step.tasks > kMaximumTasksPerStep) {
      faults.push_back(
          {path, absl::StrCat("must have 1 to ", kMaximumTasksPerStep,
                              " tasks, but has ", step.tasks)});
    }
    for (const int64_t predecessor : step.predecessors) {
      if (predecessor < 0 || predecessor >= static_cast<int64_t>(i)) {
        faults.push_back({path, absl::StrCat("must only have earlier steps as "
                                             "predecessors, but names step ",
                                             predecessor)});
        break;
      }
    }
  }
  if (!faults.empty()) {
    return MakeInvalidArgument("the job is not valid", std::move(faults));
  }
  return Success();
}

}  // namespace bramleyrail
