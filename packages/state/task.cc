#include "packages/state/task.h"

#include <array>

namespace bramleyrail {

namespace {

constexpr std::array<std::string_view, 6> kReportedNames = {
    "accepted", "running", "checkpointed", "completed", "failed", "stopped"};

}  // namespace

std::string_view TaskStateName(TaskState state) {
  constexpr std::array<std::string_view, 5> kNames = {
      "pending", "assigned", "completed", "failed", "cancelled"};
  return kNames[static_cast<size_t>(state)];
}

std::string_view DesiredAttemptStateName(DesiredAttemptState state) {
  constexpr std::array<std::string_view, 4> kNames = {"run", "throttle",
                                                      "checkpoint", "stop"};
  return kNames[static_cast<size_t>(state)];
}

std::string_view ReportedAttemptStateName(ReportedAttemptState state) {
  return kReportedNames[static_cast<size_t>(state)];
}

Result<ReportedAttemptState> ParseReportedAttemptState(std::string_view name) {
  for (size_t i = 0; i < kReportedNames.size(); ++i) {
    if (kReportedNames[i] == name) {
      return static_cast<ReportedAttemptState>(i);
    }
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   "'" + std::string(name) + "' is not a state of an attempt",
                   "use accepted, running, checkpointed, completed, failed or "
                   "stopped");
}

}  // namespace bramleyrail
