#ifndef PACKAGES_OPERATOR_TASK_REPORT_H_
#define PACKAGES_OPERATOR_TASK_REPORT_H_

#include "packages/state/state.h"

namespace bramleyrail {

Json TaskToJson(const Task& task);

// {"task", "summary", "details"}: where a task runs and why, or why it waits.
Json ExplainTask(const ClusterState& state, const Task& task);

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_TASK_REPORT_H_
