#include "packages/worker/worker_view.h"

#include <utility>
#include <variant>

namespace bramleyrail {

namespace {

struct WorkerFlags {
  bool registered = false;
  bool suspended = false;
  bool may_start = false;
};

WorkerFlags FlagsOf(const ClusterState& state,
                    std::string_view worker,
                    std::string_view boot_id) {
  const WorkerState* worker_state = state.FindWorkerState(worker);
  // Attempts are bound to a boot id. Another boot of the same worker gets
  // nothing before it has been registered.
  if (worker_state == nullptr || worker_state->boot_id != boot_id) {
    return {};
  }
  WorkerFlags flags;
  flags.registered = true;
  flags.suspended = worker_state->suspended || worker_state->expired;
  flags.may_start = !flags.suspended && !worker_state->on_probation &&
                    !state.IsWorkerDrained(worker);
  return flags;
}

bool IsHeldBy(const Task* task, std::string_view boot_id) {
  return task != nullptr && task->HasLiveAttempt() &&
         task->worker_boot_id == boot_id;
}

DesiredEntry MakeEntry(const ClusterState& state, const Task& task) {
  DesiredEntry entry;
  entry.task_id = task.id;
  entry.attempt = task.attempt;
  entry.desired = task.desired;
  entry.size = task.reserved;
  entry.checkpoint = task.checkpoint;
  entry.when_partitioned = task.when_partitioned;
  const Resource* owner = state.FindResource(task.owner.kind, task.owner.name);
  if (owner == nullptr || owner->uid != task.owner.uid) {
    // The owner was deleted; the attempt only remains until it has ended.
    entry.desired = DesiredAttemptState::kStop;
  } else if (const auto* service = std::get_if<ServiceSpec>(&owner->spec)) {
    entry.payload = service->task.payload;
  } else if (const auto* job = std::get_if<BatchJobSpec>(&owner->spec)) {
    entry.payload = job->task.payload;
    entry.checkpointable = job->checkpointable;
  }
  return entry;
}

uint64_t Mix(uint64_t version, uint64_t value) {
  return Hash64({reinterpret_cast<const char*>(&value), sizeof(value)},
                version);
}

uint64_t VersionOf(const ClusterState& state,
                   std::string_view worker,
                   std::string_view boot_id,
                   const WorkerFlags& flags) {
  uint64_t version =
      Mix(0, (flags.registered ? 1 : 0) | (flags.suspended ? 2 : 0) |
                 (flags.may_start ? 4 : 0));
  if (!flags.registered) {
    return version;
  }
  for (const auto& task_id : state.FindWorkerState(worker)->task_ids) {
    const Task* task = state.FindTask(task_id);
    if (IsHeldBy(task, boot_id)) {
      version = Hash64(task_id, version);
      version = Mix(version, static_cast<uint64_t>(task->attempt) * 8 +
                                 static_cast<uint64_t>(task->desired));
    }
  }
  return version;
}

}  // namespace

uint64_t WorkerVersion(const ClusterState& state,
                       std::string_view worker,
                       std::string_view boot_id) {
  return VersionOf(state, worker, boot_id, FlagsOf(state, worker, boot_id));
}

WorkerView MakeWorkerView(const ClusterState& state,
                          std::string_view worker,
                          std::string_view boot_id) {
  const WorkerFlags flags = FlagsOf(state, worker, boot_id);
  WorkerView view;
  view.revision = state.revision();
  view.version = VersionOf(state, worker, boot_id, flags);
  view.registered = flags.registered;
  view.suspended = flags.suspended;
  view.may_start = flags.may_start;
  if (!flags.registered) {
    return view;
  }
  for (const auto& task_id : state.FindWorkerState(worker)->task_ids) {
    const Task* task = state.FindTask(task_id);
    if (IsHeldBy(task, boot_id)) {
      view.attempts.push_back(MakeEntry(state, *task));
    }
  }
  return view;
}

}  // namespace bramleyrail
