// Gangs on the workers of a FakePool.

#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

namespace {

// Within this time, a member of a gang notices the end of another one.
constexpr uint64_t kMaximumGangEndMs = 300;
// A member waits this long for the others.
constexpr Milliseconds kGangWait{3'000};

}  // namespace

std::vector<std::pair<FakePool::Worker*, RunKey>> FakePool::OtherMembers(
    const RunKey& key) {
  std::vector<std::pair<Worker*, RunKey>> members;
  const TaskName& task = key.first;
  for (Worker& worker : workers_) {
    for (const auto& [other, run] : worker.runs) {
      if (run.gang_members > 0 && other != key && other.second == key.second &&
          other.first.job == task.job &&
          other.first.occurrence == task.occurrence &&
          other.first.step == task.step) {
        members.emplace_back(&worker, other);
      }
    }
  }
  return members;
}

void FakePool::JoinGang(const RunKey& key, Run* run) {
  if (run->gang_members == 0) {
    return;
  }
  run->gang_wait_ends = now_ + kGangWait;
  std::vector<Run*> gang = {run};
  for (const auto& [worker, other] : OtherMembers(key)) {
    gang.push_back(&worker->runs.at(other));
  }
  if (static_cast<int64_t>(gang.size()) < run->gang_members) {
    return;
  }
  for (Run* member : gang) {
    member->gang_complete = true;
    member->end_time = now_ + options_.task_time;
  }
}

void FakePool::BreakGangOf(const RunKey& ended) {
  for (const auto& [worker, key] : OtherMembers(ended)) {
    Run& run = worker->runs.at(key);
    if (!run.gang_breaks) {
      run.gang_breaks = now_ + Milliseconds(1 + random_() % kMaximumGangEndMs);
    }
  }
}

void FakePool::FinishGangOf(const RunKey& done) {
  for (const auto& [worker, key] : OtherMembers(done)) {
    if (worker->runs.contains(key)) {
      FinishRun(worker, key, "done");
    }
  }
}

}  // namespace bramleyrail
