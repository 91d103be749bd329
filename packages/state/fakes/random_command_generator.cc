#include "packages/state/fakes/random_command_generator.h"

#include <iterator>
#include <utility>
#include <vector>

namespace bramleyrail {

int64_t RandomCommandGenerator::Number(int64_t low, int64_t high) {
  const auto span = static_cast<uint64_t>(high - low + 1);
  return low + static_cast<int64_t>(random_() % span);
}

std::string RandomCommandGenerator::Name(const char* prefix, int count) {
  return prefix + std::to_string(Number(0, count - 1));
}

std::string RandomCommandGenerator::NewUid() {
  return "uid" + std::to_string(next_uid_++);
}

std::string RandomCommandGenerator::ChangeId() {
  return OneIn(6) ? Name("again", 4) : "change" + std::to_string(next_uid_++);
}

const Task* RandomCommandGenerator::RandomTask(const ClusterState& state) {
  std::vector<const Task*> tasks;
  for (const ResourceKind kind :
       {ResourceKind::kService, ResourceKind::kBatchJob}) {
    for (const auto& [name, resource] : state.Resources(kind)) {
      const auto owned = state.TasksOf(resource.uid);
      tasks.insert(tasks.end(), owned.begin(), owned.end());
    }
  }
  for (const auto& [name, worker] : state.worker_states()) {
    for (const SharedText& task_id : worker.task_ids) {
      tasks.push_back(state.FindTask(task_id));
    }
  }
  return tasks.empty() ? nullptr : tasks[Number(0, std::ssize(tasks) - 1)];
}

std::string RandomCommandGenerator::BootIdOf(const ClusterState& state,
                                             const std::string& worker) {
  const WorkerState* known = state.FindWorkerState(worker);
  return known == nullptr || OneIn(10) ? Name("boot", 20)
                                       : std::string(known->boot_id);
}

ResourceDeclaration RandomCommandGenerator::Declaration(
    const ClusterState& state) {
  ResourceDeclaration declaration;
  const std::string domain = Name("domain", 2);
  TaskTemplate task{
      Name("team", 2), "kind", {Number(1, 3), Number(1, 3), 0}, "payload", {}};
  switch (Number(0, 7)) {
    case 0:
    case 1:
      declaration.name = Name("service", 2);
      declaration.spec = ServiceSpec{task, Number(0, 3)};
      break;
    case 2:
    case 3:
      if (OneIn(3)) {
        task.failure_domains = {domain};
      }
      declaration.name = Name("job", 3);
      declaration.spec = BatchJobSpec{task, Number(1, 4)};
      break;
    case 4:
      declaration.name = Name("team", 2);
      declaration.spec = TeamSpec{{Number(0, 20), Number(0, 20), 0}, 1};
      break;
    case 5:
      declaration.name = domain;
      declaration.spec = FailureDomainSpec{"south", OneIn(20)};
      break;
    case 6:
      declaration.name = Name("rack", 2);
      declaration.spec = RackSpec{domain, OneIn(8)};
      break;
    default:
      declaration.name = Name("target", 2);
      declaration.spec = TargetSpec{Name("service", 2), domain, OneIn(8)};
  }
  const Resource* current =
      state.FindResource(declaration.Kind(), declaration.name);
  if (OneIn(3)) {
    declaration.expected_revision =
        current == nullptr || OneIn(3) ? Number(0, 5) : current->revision;
  }
  if (OneIn(5)) {
    declaration.expected_uid =
        current == nullptr || OneIn(4) ? "gone" : current->uid;
  }
  return declaration;
}

CommandBody RandomCommandGenerator::OperatorChange(const ClusterState& state) {
  static constexpr std::pair<ResourceKind, const char*> kDrainableKinds[] = {
      {ResourceKind::kFailureDomain, "domain"},
      {ResourceKind::kRack, "rack"},
      {ResourceKind::kWorker, "worker"},
      {ResourceKind::kTarget, "target"}};
  const int64_t choice = Number(0, 9);
  if (choice == 0) {
    const ResourceDeclaration deleted = Declaration(state);
    return DeleteResource{ChangeId(), deleted.Kind(), deleted.name,
                          deleted.expected_uid, deleted.expected_revision};
  }
  if (choice == 1) {
    return CancelJob{ChangeId(), Name("job", 3)};
  }
  if (choice <= 3) {
    const auto& [kind, prefix] = kDrainableKinds[Number(0, 3)];
    return SetDrained{ChangeId(), kind, Name(prefix, 2), OneIn(4), NewUid()};
  }
  ApplyResources apply{ChangeId(), {}, {}};
  for (int64_t i = Number(1, 3); i > 0; --i) {
    apply.declarations.push_back(Declaration(state));
    apply.new_uids.push_back(NewUid());
  }
  return apply;
}

CommandBody RandomCommandGenerator::WorkerChange(const ClusterState& state) {
  const std::string name = Name("worker", 3);
  const std::string boot_id = BootIdOf(state, name);
  switch (Number(0, 7)) {
    case 0:
      return SuspendWorker{name, boot_id};
    case 1:
      return ResumeWorker{name, boot_id};
    case 2:
      return ExpireWorker{name, boot_id};
    case 3:
      return SetWorkerProbation{name, OneIn(4), "fails"};
    case 4:
      return DeleteResource{ChangeId(), ResourceKind::kWorker, name, "", {}};
    default:
      return RegisterWorker{name, boot_id,
                            WorkerSpec{Name("domain", 2),
                                       Name("rack", 2),
                                       {Number(2, 8), Number(2, 8), 0}},
                            NewUid()};
  }
}

CommandBody RandomCommandGenerator::AttemptChange(const ClusterState& state) {
  StartAttempts starts;
  for (int64_t i = Number(1, 4); i > 0; --i) {
    const Task* task = RandomTask(state);
    const auto& pending = state.pending_by_owner();
    if (!pending.empty() && !OneIn(3)) {
      const auto& task_ids = std::prev(pending.end())->second;
      task = state.FindTask(
          *std::next(task_ids.begin(), Number(0, std::ssize(task_ids) - 1)));
    }
    if (task == nullptr) {
      break;
    }
    const std::string worker = Name("worker", 3);
    starts.starts.push_back({std::string(task->id),
                             task->attempt - (OneIn(10) ? 1 : 0),
                             worker,
                             BootIdOf(state, worker),
                             {Number(0, 3), Number(0, 3), 0}});
  }
  return starts;
}

CommandBody RandomCommandGenerator::Reports(const ClusterState& state) {
  const Task* task = RandomTask(state);
  if (task == nullptr) {
    return PurgeBefore{now_unix_ms_ - 60};
  }
  const int64_t attempt = task->attempt - (OneIn(8) ? 1 : 0);
  if (OneIn(3)) {
    return SetDesiredAttempts{
        {{std::string(task->id), attempt,
          static_cast<DesiredAttemptState>(Number(0, 3)), "make room"}}};
  }
  return ReportAttempts{
      std::string(task->worker),
      BootIdOf(state, std::string(task->worker)),
      {{std::string(task->id), attempt,
        static_cast<ReportedAttemptState>(Number(0, 5)),
        OneIn(2) ? "checkpoint" + std::to_string(Number(0, 9)) : "", "message",
        !OneIn(3)}}};
}

CommandBody RandomCommandGenerator::ClaimChange() {
  Claim claim;
  claim.request_id = Name("request", 6);
  claim.instance = Name("entry", 2);
  claim.instance_boot_id = Name("entry-boot", 2);
  claim.state = static_cast<ClaimState>(Number(0, 3));
  claim.response_body = std::string("\xff\x00 body", 7);
  claim.response_stored = OneIn(2);
  switch (Number(0, 4)) {
    case 0:
      return ResolveLostClaims{claim.instance, claim.instance_boot_id};
    case 1:
    case 2:
      return ResolveClaim{claim};
    default:
      return ClaimRequest{claim};
  }
}

CommandBody RandomCommandGenerator::FirstDeclarations() {
  ApplyResources apply{"first", {}, {}};
  for (const char* name : {"team0", "team1"}) {
    apply.declarations.push_back({name, TeamSpec{{15, 15, 0}, 1}, "", {}});
    apply.new_uids.push_back(NewUid());
  }
  for (const char* name : {"domain0", "domain1"}) {
    apply.declarations.push_back(
        {name, FailureDomainSpec{"south", false}, "", {}});
    apply.new_uids.push_back(NewUid());
  }
  return apply;
}

Command RandomCommandGenerator::Next(const ClusterState& state) {
  Command command;
  command.proposed_unix_ms = ++now_unix_ms_;
  if (state.revision() == 0) {
    command.body = FirstDeclarations();
    return command;
  }
  switch (Number(0, 9)) {
    case 0:
    case 1:
      command.body = OperatorChange(state);
      break;
    case 2:
    case 3:
      command.body = WorkerChange(state);
      break;
    case 4:
    case 5:
      command.body = AttemptChange(state);
      break;
    case 6:
      command.body = Reports(state);
      break;
    case 7:
      command.body = ClaimChange();
      break;
    default: {
      const auto& owners = state.owners_to_reconcile();
      const auto& pending = state.pending_by_owner();
      if (!owners.empty()) {
        command.body = ReconcileTasks{owners.begin()->second};
      } else if (!pending.empty()) {
        const Task* task = state.FindTask(*pending.begin()->second.begin());
        command.body = SetPendingReason{task->owner, "no room", OneIn(3)};
      } else {
        command.body = PurgeBefore{now_unix_ms_ - 60};
      }
    }
  }
  return command;
}

}  // namespace bramleyrail
