#include <rapidcheck.h>
#include <map>

#include "packages/state/fakes/random_command_generator.h"
#include "packages/state/state.h"

// Last, since its memory macros break the headers of the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int kCommandsPerRun = 250;

TEST_GROUP(ClusterStateProperty){};

// Observations over all commands of one test run.
struct CommandHistory {
  std::map<std::string, int64_t> newest_attempts;  // By task id.
  std::map<std::string, int64_t> claims_created;   // By stored request id.
  // The first command with each change id, and its outcome.
  std::map<std::string, std::pair<Command, CommandOutcome>> first_outcomes;
};

using LiveTasks = std::map<std::string, Task>;

LiveTasks LiveTasksOf(const ClusterState& state) {
  LiveTasks live;
  for (const auto& [name, worker] : state.worker_states()) {
    for (const SharedText& id : worker.task_ids) {
      live.emplace(id, *state.FindTask(id));
    }
  }
  return live;
}

void CheckAttempts(const LiveTasks& before,
                   const ClusterState& after,
                   CommandHistory& history) {
  for (const auto& [name, worker] : after.worker_states()) {
    for (const SharedText& id : worker.task_ids) {
      const Task* task = after.FindTask(id);
      const auto earlier = before.find(std::string(id));
      const bool started = earlier == before.end();
      // A task has at most one live attempt: a new attempt starts only after
      // the end of the last one.
      RC_ASSERT(started || earlier->second.attempt == task->attempt);
      RC_ASSERT(started || earlier->second.worker == task->worker);
      // Attempt numbers are fencing tokens and are never used twice.
      int64_t& newest = history.newest_attempts[std::string(id)];
      RC_ASSERT((started ? task->attempt > newest : task->attempt == newest));
      newest = task->attempt;
      if (!started) {
        continue;
      }
      const auto& spec = std::get<WorkerSpec>(
          after.FindResource(ResourceKind::kWorker, name)->spec);
      RC_ASSERT(worker.reserved.FitsInto(spec.capacity));
      RC_ASSERT(!worker.suspended && !worker.on_probation);
      RC_ASSERT(!after.IsWorkerDrained(name));
      const auto& owner =
          after.FindResource(task->owner.kind, task->owner.name)->spec;
      const std::string& team = FindTaskTemplate(owner)->team;
      RC_ASSERT(after.ReservedBy(team).FitsInto(
          std::get<TeamSpec>(
              after.FindResource(ResourceKind::kTeam, team)->spec)
              .quota));
    }
  }
}

// A report is accepted only for an attempt that was live on the reporting boot.
void CheckReports(const Command& command,
                  const CommandOutcome& outcome,
                  const LiveTasks& before) {
  const auto* reports = std::get_if<ReportAttempts>(&command.body);
  if (reports == nullptr || outcome.accepted == 0) {
    return;
  }
  const auto live = before.find(reports->reports[0].task_id);
  RC_ASSERT(live != before.end());
  RC_ASSERT(live->second.attempt == reports->reports[0].attempt);
  RC_ASSERT(live->second.worker == reports->worker);
  RC_ASSERT(live->second.worker_boot_id == reports->boot_id);
}

void CheckClaims(const Command& command,
                 const CommandOutcome& outcome,
                 const ClusterState& after,
                 CommandHistory& history) {
  if (const auto* claim = std::get_if<ClaimRequest>(&command.body)) {
    int64_t& created = history.claims_created[claim->claim.request_id];
    created += outcome.claim_created ? 1 : 0;
    RC_ASSERT(created <= 1);
  }
  std::erase_if(history.claims_created, [&after](const auto& entry) {
    return after.FindClaim(entry.first) == nullptr;
  });
}

std::string ChangeIdOf(const Command& command) {
  return std::visit(
      [](const auto& body) -> std::string {
        if constexpr (requires { body.change_id; }) {
          return body.change_id;
        } else {
          return "";
        }
      },
      command.body);
}

// Applies the first command with the same change id again and expects the same
// outcome.
void CheckResentCommand(const Command& command,
                        const CommandOutcome& outcome,
                        ClusterState& state,
                        ClusterState& replica,
                        CommandHistory& history) {
  if (std::holds_alternative<PurgeBefore>(command.body)) {
    history.first_outcomes.clear();
  }
  const std::string change_id = ChangeIdOf(command);
  if (change_id.empty()) {
    return;
  }
  const auto& [first, first_outcome] =
      history.first_outcomes.try_emplace(change_id, command, outcome)
          .first->second;
  const bool reused =
      first_outcome.refusal &&
      first_outcome.refusal->message.ends_with("belongs to another change");
  if (!reused) {
    RC_ASSERT(EncodeOutcome(state.Apply(first)) ==
              EncodeOutcome(first_outcome));
    replica.Apply(first);
  }
}

// Fails if a sequence of commands breaks an invariant, or replicas that apply
// the same commands diverge.
TEST(ClusterStateProperty, RandomCommandsKeepTheInvariants) {
  CHECK(rc::check("invariants", [] {
    RandomCommandGenerator source(*rc::gen::arbitrary<uint64_t>());
    auto state = std::make_unique<ClusterState>();
    auto replica = std::make_unique<ClusterState>();
    CommandHistory history;
    for (int i = 0; i < kCommandsPerRun; ++i) {
      const Command command = source.Next(*state);
      const auto encoded = EncodeCommand(command);
      const LiveTasks before = LiveTasksOf(*state);
      const CommandOutcome outcome = state->Apply(command);
      state->AssertConsistent();
      CheckAttempts(before, *state, history);
      CheckReports(command, outcome, before);
      CheckClaims(command, outcome, *state, history);

      const CommandOutcome replicated =
          replica->Apply(DecodeCommand(encoded).value());
      RC_ASSERT(EncodeOutcome(replicated) == EncodeOutcome(outcome));
      const auto round_trip = DecodeOutcome(EncodeOutcome(outcome)).value();
      RC_ASSERT(EncodeOutcome(round_trip) == EncodeOutcome(outcome));
      CheckResentCommand(command, outcome, *state, *replica, history);
      if (i % 50 == 45) {
        // From here on, the replica is one restored from a snapshot.
        replica = ClusterState::FromSnapshot(state->EncodeSnapshot()).value();
        replica->AssertConsistent();
      }
      if (i % 10 == 9) {
        RC_ASSERT(replica->EncodeSnapshot() == state->EncodeSnapshot());
      }
    }
  }));
}

// Fails if a refused change is applied in part. A refusal may change only the
// revision and the record of the change id.
TEST(ClusterStateProperty, RefusedAppliesChangeNoResource) {
  CHECK(rc::check("whole or not at all", [] {
    RandomCommandGenerator source(*rc::gen::arbitrary<uint64_t>());
    ClusterState state;
    for (int i = 0; i < kCommandsPerRun; ++i) {
      const Command command = source.Next(state);
      const int64_t revision = state.revision();
      const CommandOutcome outcome = state.Apply(command);
      const auto changes = state.ChangesAfter(revision, 100);
      if (outcome.refusal) {
        RC_ASSERT(changes.value().empty());
      }
      const auto* apply = std::get_if<ApplyResources>(&command.body);
      if (apply != nullptr && outcome.accepted > 0 &&
          outcome.revision == state.revision()) {
        RC_ASSERT(static_cast<int64_t>(changes.value().size()) ==
                  outcome.accepted);
        RC_ASSERT(outcome.resources.size() == apply->declarations.size());
      }
    }
  }));
}

}  // namespace
}  // namespace bramleyrail
