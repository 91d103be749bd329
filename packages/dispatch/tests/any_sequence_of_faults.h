#ifndef PACKAGES_DISPATCH_TESTS_ANY_SEQUENCE_OF_FAULTS_H_
#define PACKAGES_DISPATCH_TESTS_ANY_SEQUENCE_OF_FAULTS_H_

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

namespace bramleyrail {

// Behaviour of CheckAnySequenceOfFaults() that varies.
struct FaultSequence {
  // Called after the pool has started.
  std::function<void(FakePool*)> prepare = [](FakePool*) {};
  // Submits a job with this number.
  std::function<void(FakePool*, int)> submit = [](FakePool* pool, int number) {
    pool->Submit(absl::StrCat("job", number), FakePool::Job(4, 2));
  };
  // Applies one of four further faults.
  std::function<void(FakePool*, int)> apply_other = [](FakePool*, int) {};
  // Called after all jobs have ended.
  std::function<void(FakePool*)> finish = [](FakePool*) {};
};

// Runs a random sequence of faults on a pool and checks what must always hold.
inline void CheckAnySequenceOfFaults(FakePool::Options options,
                                     const FaultSequence& sequence = {}) {
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.lose_order = 0.05;
  options.delay_order = 0.05;
  options.lose_response = 0.05;
  FakePool pool(options);
  sequence.prepare(&pool);
  int jobs = 0;
  const auto faults =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
  for (const int fault : faults) {
    if (jobs < 20) {
      sequence.submit(&pool, jobs++);
    }
    const int worker = fault % options.workers;
    if (fault < 4) {
      pool.SetPartitioned(worker, true);
    } else if (fault < 8) {
      pool.SetPartitioned(worker, false);
    } else if (fault < 10) {
      pool.Crash(worker);
    } else if (fault < 12) {
      pool.ChangeLeader();
    } else {
      sequence.apply_other(&pool, fault - 12);
    }
    pool.RunFor(Milliseconds(700));
  }
  for (int worker = 0; worker < options.workers; ++worker) {
    pool.SetPartitioned(worker, false);
  }
  const bool all_ended = pool.RunUntil(
      [&] {
        for (int i = 0; i < jobs; ++i) {
          if (pool.Outcome(absl::StrCat("job", i)) == JobOutcome::kOpen) {
            return false;
          }
        }
        return true;
      },
      Milliseconds(120'000));
  RC_ASSERT(pool.violation() == "");
  RC_ASSERT(all_ended);
  sequence.finish(&pool);
}

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_ANY_SEQUENCE_OF_FAULTS_H_
