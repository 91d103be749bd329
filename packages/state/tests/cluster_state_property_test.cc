#include <rapidcheck.h>
#include <map>

#include "packages/state/fakes/command_source.h"
#include "packages/state/state.h"

// Last, since its memory macros break the headers of the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int kCommandsOfOneRun = 250;

TEST_GROUP(ClusterStateProperty){};

// What outlives a command and is compared across it.
struct Observer {
  std::map<std::string, int64_t> attempts;    // Newest seen of each task.
  std::map<std::string, int64_t> claim_wins;  // Of ids not yet forgotten.
  // The first command with a change id, and its answer.
  std::map<std::string, std::pair<Command, CommandOutcome>> first_answers;
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
                   Observer& observer) {
  for (const auto& [name, worker] : after.worker_states()) {
    for (const SharedText& id : worker.task_ids) {
      const Task* task = after.FindTask(id);
      const auto earlier = before.find(std::string(id));
      const bool started = earlier == before.end();
      // One live attempt: a new one may only follow the end of the last.
      RC_ASSERT(started || earlier->second.attempt == task->attempt);
      RC_ASSERT(started || earlier->second.worker == task->worker);
      // A fencing number is never given out twice.
      int64_t& newest = observer.attempts[std::string(id)];
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

// A report may only count for the attempt that was live on that boot.
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
                 Observer& observer) {
  if (const auto* claim = std::get_if<ClaimRequest>(&command.body)) {
    int64_t& wins = observer.claim_wins[claim->claim.request_id];
    wins += outcome.claim_won ? 1 : 0;
    RC_ASSERT(wins <= 1);
  }
  std::erase_if(observer.claim_wins, [&after](const auto& entry) {
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

// Sends the first command with the same change id again.
void CheckFirstAnswer(const Command& command,
                      const CommandOutcome& outcome,
                      ClusterState& state,
                      ClusterState& replica,
                      Observer& observer) {
  if (std::holds_alternative<ForgetBefore>(command.body)) {
    observer.first_answers.clear();
  }
  const std::string change_id = ChangeIdOf(command);
  if (change_id.empty()) {
    return;
  }
  const auto& [first, answer] =
      observer.first_answers.try_emplace(change_id, command, outcome)
          .first->second;
  const bool reused = answer.refusal && answer.refusal->message.ends_with(
                                            "belongs to another change");
  if (!reused) {
    RC_ASSERT(EncodeOutcome(state.Apply(first)) == EncodeOutcome(answer));
    replica.Apply(first);
  }
}

// Guards against every broken invariant that a sequence of commands can reach,
// and against replicas that come apart.
TEST(ClusterStateProperty, RandomCommandsKeepTheInvariants) {
  CHECK(rc::check("invariants", [] {
    CommandSource source(*rc::gen::arbitrary<uint64_t>());
    auto state = std::make_unique<ClusterState>();
    auto replica = std::make_unique<ClusterState>();
    Observer observer;
    for (int i = 0; i < kCommandsOfOneRun; ++i) {
      const Command command = source.Next(*state);
      const auto encoded = EncodeCommand(command);
      const LiveTasks before = LiveTasksOf(*state);
      const CommandOutcome outcome = state->Apply(command);
      state->AssertConsistent();
      CheckAttempts(before, *state, observer);
      CheckReports(command, outcome, before);
      CheckClaims(command, outcome, *state, observer);

      const CommandOutcome replicated =
          replica->Apply(DecodeCommand(encoded).value());
      RC_ASSERT(EncodeOutcome(replicated) == EncodeOutcome(outcome));
      const auto round_trip = DecodeOutcome(EncodeOutcome(outcome)).value();
      RC_ASSERT(EncodeOutcome(round_trip) == EncodeOutcome(outcome));
      CheckFirstAnswer(command, outcome, *state, *replica, observer);
      if (i % 50 == 45) {
        // From here on the replica is one that was restored.
        replica = ClusterState::FromSnapshot(state->EncodeSnapshot()).value();
        replica->AssertConsistent();
      }
      if (i % 10 == 9) {
        RC_ASSERT(replica->EncodeSnapshot() == state->EncodeSnapshot());
      }
    }
  }));
}

// Guards against a change that is applied in part: with a refusal, nothing
// but the revision and the record of the change id may differ.
TEST(ClusterStateProperty, RefusedAppliesChangeNoResource) {
  CHECK(rc::check("whole or not at all", [] {
    CommandSource source(*rc::gen::arbitrary<uint64_t>());
    ClusterState state;
    for (int i = 0; i < kCommandsOfOneRun; ++i) {
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
