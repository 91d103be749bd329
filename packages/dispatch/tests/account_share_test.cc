#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kTaskTime{400};

ClientAccount Account(const std::string& name, int64_t weight) {
  return {.name = name, .weight = weight};
}

int64_t MillisOf(const FakePool& pool, const std::string& account) {
  return pool.ReservedBy(account).processor_millis;
}

TEST_GROUP(AccountShare){};

// Pattern: one of 600 accounts sends far more than fits. Fails when the work of
// the others, which fits, waits behind it for longer than until the next runs
// end.
TEST(AccountShare, FloodOfOneAccountDelaysNoOther) {
  constexpr int kAccounts = 600;
  constexpr int kWorkers = 30;
  FakePool pool({.workers = kWorkers, .task_time = kTaskTime});
  std::vector<ClientAccount> accounts;
  for (int number = 0; number < kAccounts; ++number) {
    accounts.push_back(Account(absl::StrCat("a", number), 1));
  }
  pool.SetAccounts(accounts);
  pool.Submit("flood", FakePool::Job(2'000, 1), "a0");
  CHECK(pool.RunUntil([&] { return pool.RunningTasks() == kWorkers * 8; },
                      Milliseconds(600)));
  for (int number = 1; number < kAccounts; number += 10) {
    const std::string id = absl::StrCat("job", number);
    pool.Submit(id, FakePool::Job(1, 1), absl::StrCat("a", number));
  }
  const auto all_completed = [&] {
    for (int number = 1; number < kAccounts; number += 10) {
      if (pool.Outcome(absl::StrCat("job", number)) != JobOutcome::kCompleted) {
        return false;
      }
    }
    return true;
  };
  CHECK(pool.RunUntil(all_completed, 2 * kTaskTime + Milliseconds(700)));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("flood") == JobOutcome::kCompleted; },
      Milliseconds(8'000)));
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

// Fails when accounts that all send more than fits don't get room by weight, or
// when a new leader does not restore that order.
TEST(AccountShare, FullPoolIsSharedByWeight) {
  FakePool pool({.workers = 10, .task_time = kTaskTime});
  pool.SetAccounts({Account("light", 1), Account("heavy", 3)});
  pool.Submit("light", FakePool::Job(1'000, 1), "light");
  pool.Submit("heavy", FakePool::Job(1'000, 1), "heavy");
  for (int leader = 0; leader < 2; ++leader) {
    pool.RunFor(4 * kTaskTime);
    int64_t light = 0;
    int64_t heavy = 0;
    for (int sample = 0; sample < 20; ++sample) {
      pool.RunFor(Milliseconds(50));
      light += MillisOf(pool, "light");
      heavy += MillisOf(pool, "heavy");
    }
    const double ratio =
        static_cast<double>(heavy) / static_cast<double>(light);
    CHECK(ratio > 2.4);
    CHECK(ratio < 3.6);
    pool.ChangeLeader();
  }
  CHECK_TRUE_TEXT(pool.violation().empty(), pool.violation().c_str());
}

// Fails when room that no other account needs stays unused, or when an account
// beyond its share starves.
TEST(AccountShare, AccountBeyondItsShareUsesWhatIsLeft) {
  FakePool pool({.workers = 4, .task_time = kTaskTime});
  pool.SetAccounts({Account("busy", 1), Account("idle", 100)});
  pool.Submit("idle", FakePool::Job(4, 1), "idle");
  pool.Submit("busy", FakePool::Job(200, 1), "busy");
  pool.RunFor(Milliseconds(300));
  LONGS_EQUAL(4'000, MillisOf(pool, "idle"));
  LONGS_EQUAL(28'000, MillisOf(pool, "busy"));
  CHECK(pool.RunUntil(
      [&] { return pool.Outcome("busy") == JobOutcome::kCompleted; },
      Milliseconds(8'000)));
}

// Fails when the share follows the processors although another resource is the
// one that the account uses most.
TEST(AccountShare, DominantResourceCounts) {
  FakePool pool({.workers = 10, .task_time = kTaskTime});
  pool.SetAccounts({Account("memory", 1), Account("processors", 1)});
  JobSpecification large = FakePool::Job(1'000, 1);
  large.steps[0].size = {1'000, 16'000, 0};
  pool.Submit("memory", large, "memory");
  pool.Submit("processors", FakePool::Job(1'000, 1), "processors");
  pool.RunFor(4 * kTaskTime);
  int64_t memory = 0;
  int64_t processors = 0;
  for (int sample = 0; sample < 20; ++sample) {
    pool.RunFor(Milliseconds(50));
    memory += pool.ReservedBy("memory").memory_mib;
    processors += MillisOf(pool, "processors");
  }
  // Both use about half of the resource that they use most.
  const double share_of_memory = static_cast<double>(memory) / 20 / 640'000;
  const double share_of_processors =
      static_cast<double>(processors) / 20 / 80'000;
  CHECK(share_of_memory < share_of_processors * 1.3);
  CHECK(share_of_memory > 0.35);
}

}  // namespace
}  // namespace bramleyrail
