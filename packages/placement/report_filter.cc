#include "packages/placement/report_filter.h"

namespace bramleyrail {

namespace {

bool IsRunning(ReportedAttemptState state) {
  return state == ReportedAttemptState::kRunning ||
         state == ReportedAttemptState::kCheckpointed;
}

}  // namespace

std::optional<AttemptReport> FilterAttemptReport(const ClusterState& state,
                                                 std::string_view worker,
                                                 std::string_view boot_id,
                                                 const AttemptReport& report) {
  const Task* task = state.FindTask(report.task_id);
  // The attempt number is the fencing token: a report of an older attempt, or
  // of the same attempt on another worker, must not affect the live one.
  if (task == nullptr || !task->HasLiveAttempt() ||
      task->attempt != report.attempt || task->worker != worker ||
      task->worker_boot_id != boot_id) {
    return std::nullopt;
  }
  AttemptReport new_report = report;
  const bool new_checkpoint =
      !report.checkpoint.empty() && report.checkpoint != task->checkpoint;
  if (IsRunning(report.state)) {
    if (new_checkpoint) {
      new_report.state = ReportedAttemptState::kCheckpointed;
      return new_report;
    }
    // A worker reports a running attempt in every poll, so a checkpoint that is
    // already recorded needs no further log entry.
    if (IsRunning(task->reported)) {
      return std::nullopt;
    }
    new_report.state = ReportedAttemptState::kRunning;
    return new_report;
  }
  if (report.state == ReportedAttemptState::kAccepted) {
    return std::nullopt;
  }
  return new_report;
}

}  // namespace bramleyrail
