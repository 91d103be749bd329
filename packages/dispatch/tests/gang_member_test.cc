// Gangs of which a member is lost.

#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLongEnough{30'000};

TEST_GROUP(GangMember) {
  FakePool pool_{{.workers = 2, .ends_gangs = true}};

  void Submit(bool long_running) {
    JobSpecification job = FakePool::Job(2, 1);
    job.steps[0].gang = true;
    job.steps[0].long_running = long_running;
    job.steps[0].maximum_tasks_per_worker = 1;
    pool_.Submit("gang", job);
  }
  bool RunsMembers(int count) {
    return pool_.RunUntil([&] { return pool_.RunningTasks() == count; },
                          kLongEnough);
  }
};

// LOST: fails when a gang does not start anew after the start of one member was
// lost, although the other one ends because it has waited in vain.
TEST(GangMember, GangStartsAnewWhenAMemberNeverBegan) {
  pool_.SetCut(1, FakePool::Cut::kStarts);
  Submit(true);
  CHECK(RunsMembers(1));
  CHECK(RunsMembers(0));
  pool_.SetCut(1, FakePool::Cut::kNone);
  CHECK(RunsMembers(2));
  // A member that had not met the other one would have ended by then.
  pool_.RunFor(Milliseconds(4'000));
  LONGS_EQUAL(2, pool_.RunningTasks());
  STRCMP_EQUAL("", pool_.violation().c_str());
}

// LOST: fails when a gang does not start anew after a crash under one member.
TEST(GangMember, GangStartsAnewAfterACrash) {
  Submit(true);
  CHECK(RunsMembers(2));
  pool_.Crash(0);
  CHECK(RunsMembers(0));
  CHECK(RunsMembers(2));
  STRCMP_EQUAL("", pool_.violation().c_str());
}

// LOST: fails when a member is started again and again on a worker that renews
// its lease but never receives a start, although another one has room.
TEST(GangMember, LostStartsDoNotLeadBackToTheirWorker) {
  FakePool pool({.workers = 3, .ends_gangs = true});
  pool.SetCut(1, FakePool::Cut::kStarts);
  JobSpecification job = FakePool::Job(2, 1);
  job.steps[0].long_running = true;
  job.steps[0].gang = true;
  job.steps[0].maximum_tasks_per_worker = 1;
  pool.Submit("gang", job);
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == 2; }, kLongEnough));
  STRCMP_EQUAL("", pool.violation().c_str());
}

// Fails when an ordinary gang is not done once all its members have run beside
// each other, or before that.
TEST(GangMember, GangIsDoneOnlyAfterAllMembersRan) {
  pool_.SetCut(1, FakePool::Cut::kStarts);
  Submit(false);
  pool_.RunFor(Milliseconds(10'000));
  CHECK(pool_.Outcome("gang") == JobOutcome::kOpen);
  pool_.SetCut(1, FakePool::Cut::kNone);
  CHECK(pool_.RunUntil(
      [this] { return pool_.Outcome("gang") == JobOutcome::kCompleted; },
      kLongEnough));
  STRCMP_EQUAL("", pool_.violation().c_str());
}

}  // namespace
}  // namespace bramleyrail
