#ifndef PACKAGES_QUEUE_TESTS_TWO_STEP_JOB_H_
#define PACKAGES_QUEUE_TESTS_TWO_STEP_JOB_H_

#include <string>
#include <utility>

#include "packages/queue/queue.h"

namespace bramleyrail {

// A job of two tasks and one that follows them.
inline JobSpecification TwoSteps() {
  JobSpecification job;
  job.payload = "payload";
  job.steps.resize(2);
  job.steps[0].tasks = 2;
  job.steps[1].tasks = 1;
  job.steps[1].predecessors = {0};
  return job;
}

inline SubmitJob Submission(const std::string& id) {
  SubmitJob command;
  command.id = id;
  command.queue = "queue";
  command.pool = "pool";
  command.maximum_attempts = 2;
  command.specification = TwoSteps();
  return command;
}

inline QueueOutcome Apply(QueueState* state, QueueCommandBody body) {
  // Encodes and decodes the command, as the log does.
  const QueueCommand command{1'000, std::move(body)};
  return state->Apply(DecodeQueueCommand(EncodeQueueCommand(command)).value());
}

inline FinishedRun Finished(const TaskName& task,
                            uint64_t run,
                            RunOutcome outcome) {
  return {task, run, outcome, ""};
}

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_TESTS_TWO_STEP_JOB_H_
