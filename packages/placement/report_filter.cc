#include "packages/placement/report_filter.h"

namespace bramleyrail {

namespace {

bool IsRunning(ReportedAttemptState state) {
  return state == ReportedAttemptState::kRunning ||
         state == ReportedAttemptState::kCheckpointed;
}

}  // namespace

std::optional<AttemptReport> NewsOf(const ClusterState& state,
                                    std::string_view worker,
                                    std::string_view boot_id,
                                    const AttemptReport& report) {
  const Task* task = state.FindTask(report.task_id);
  // The attempt number is the fencing token: what an older attempt, or the
  // same attempt on another worker, says must not touch the live one.
  if (task == nullptr || !task->HasLiveAttempt() ||
      task->attempt != report.attempt || task->worker != worker ||
      task->worker_boot_id != boot_id) {
    return std::nullopt;
  }
  AttemptReport news = report;
  const bool new_checkpoint =
      !report.checkpoint.empty() && report.checkpoint != task->checkpoint;
  if (IsRunning(report.state)) {
    if (new_checkpoint) {
      news.state = ReportedAttemptState::kCheckpointed;
      return news;
    }
    // A worker reports a running attempt in every poll, so a checkpoint that
    // is already recorded is no reason for another log entry.
    if (IsRunning(task->reported)) {
      return std::nullopt;
    }
    news.state = ReportedAttemptState::kRunning;
    return news;
  }
  if (report.state == ReportedAttemptState::kAccepted) {
    return std::nullopt;
  }
  return news;
}

}  // namespace bramleyrail
