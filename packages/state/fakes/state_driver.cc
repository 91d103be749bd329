#include "packages/state/fakes/state_driver.h"

namespace bramleyrail {

StateDriver::StateDriver() {
  const CommandOutcome outcome = Declare(R"([
    {"kind": "team", "name": "cutting", "spec":
      {"quota": {"processor_millis": 100000, "memory_mib": 100000}}},
    {"kind": "failure_domain", "name": "south", "spec": {"region": "r"}}])");
  BRAMLEYRAIL_ASSERT(!outcome.refusal, "the initial declarations were refused");
}

CommandOutcome StateDriver::Apply(CommandBody body) {
  CommandOutcome outcome = state_.Apply({next_id_++, std::move(body)});
  state_.AssertConsistent();
  return outcome;
}

CommandOutcome StateDriver::Declare(std::string_view json,
                                    std::string change_id) {
  const Json array = ParseJson(json, JsonComments::kRefuse).value();
  ApplyResources apply;
  apply.change_id = change_id.empty() ? "change" + std::to_string(next_id_)
                                      : std::move(change_id);
  std::vector<FieldFault> faults;
  for (const Json& element : array) {
    auto declaration = ReadDeclaration(element, "declarations", &faults);
    BRAMLEYRAIL_ASSERT(declaration.has_value(), faults[0].message);
    apply.declarations.push_back(std::move(*declaration));
    apply.new_uids.push_back("uid" + std::to_string(next_id_++));
  }
  return Apply(std::move(apply));
}

void StateDriver::RegisterWorker(const std::string& name,
                                 const std::string& boot_id,
                                 ResourceAmounts capacity) {
  Apply(bramleyrail::RegisterWorker{name, boot_id,
                                    WorkerSpec{"south", "rack-1", capacity},
                                    "uid" + std::to_string(next_id_++)});
}

void StateDriver::DeclareJob(const std::string& name,
                             int64_t tasks,
                             const std::string& more_fields) {
  const CommandOutcome outcome =
      Declare(R"([{"kind": "batch_job", "name": ")" + name + R"(", "spec": {
      "team": "cutting", "size": {"processor_millis": 1000,
      "memory_mib": 1000}, "tasks": )" +
              std::to_string(tasks) + more_fields + "}}]");
  BRAMLEYRAIL_ASSERT(!outcome.refusal,
                     "the declaration of the job was refused");
  Reconcile();
}

void StateDriver::Reconcile() {
  while (!state_.owners_to_reconcile().empty()) {
    Apply(ReconcileTasks{state_.owners_to_reconcile().begin()->second});
  }
}

std::string StateDriver::Uid(ResourceKind kind, std::string_view name) const {
  return state_.FindResource(kind, name)->uid;
}

const Task& StateDriver::JobTask(std::string_view job, int64_t index) const {
  const std::string uid = Uid(ResourceKind::kBatchJob, job);
  return *state_.FindTask(uid + "/" + std::to_string(index));
}

CommandOutcome StateDriver::Start(const Task& task,
                                  const std::string& worker,
                                  ResourceAmounts reserved) {
  const WorkerState* known = state_.FindWorkerState(worker);
  return Apply(StartAttempts{
      {{task.id, task.attempt, worker,
        known == nullptr ? "" : std::string(known->boot_id), reserved}}});
}

CommandOutcome StateDriver::Report(const Task& task,
                                   ReportedAttemptState state,
                                   const std::string& checkpoint) {
  return Apply(ReportAttempts{
      task.worker,
      task.worker_boot_id,
      {{task.id, task.attempt, state, checkpoint, "message", true}}});
}

}  // namespace bramleyrail
