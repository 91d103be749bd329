// LOST and TWICE: workers that list runs, or ends of runs, in entries that
// cannot be read.

#include <rapidcheck.h>

#include "packages/dispatch/tests/order_delivery_fixture.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kPlacement{200};
// A lease on a clock that is 2% slow, the margin, and the renewals without a
// lease until one is sent after that.
constexpr Milliseconds kLease{5'100 + 400 + 400};
// The renewal that is in progress when the run ends grants one more lease.
constexpr Milliseconds kBound = Milliseconds(1'000) + kLease + kPlacement;
// The leases of the earlier leader end on the takeover's own clock.
constexpr Milliseconds kTakeoverBound =
    Milliseconds(5'100 + 600 + 1'000) + kLease + kPlacement;

struct UnreadableEntryFixture : public OrderDeliveryFixture {
  void AddWorker(const std::string& id, const std::string& address) {
    StartWorker(id, address);
    Register(id);
    RunFor(Milliseconds(1'500));
  }

  size_t CountRunsOf(const std::string& job) const {
    size_t count = 0;
    for (const auto& [id, worker] : workers_) {
      count += std::count_if(
          worker.runs.begin(), worker.runs.end(),
          [&job](const RunKey& run) { return run.first.job.View() == job; });
    }
    return count;
  }

  bool RunsWithin(const std::string& job, Milliseconds limit) {
    const MonotonicTime end = now_ + limit;
    while (CountRunsOf(job) == 0 && now_ < end) {
      RunFor(kTick);
    }
    return CountRunsOf(job) > 0;
  }

  void EndRunOf(const std::string& job,
                const std::string& reason,
                bool unreadable) {
    for (auto& [id, worker] : workers_) {
      for (const RunKey& run : std::vector<RunKey>(worker.runs)) {
        if (run.first.job.View() == job) {
          worker.next_end_unreadable = unreadable;
          End(&worker, run, reason);
        }
      }
    }
  }

  void MakeEndsReadable() {
    for (auto& [id, worker] : workers_) {
      worker.unreadable = false;
      worker.unreadable_runs.clear();
      for (ListedEnd& listed : worker.ends) {
        listed.unreadable = false;
      }
    }
  }

  bool IsCompleted(const std::string& job) const {
    return state_.FindJob(job)->outcome == JobOutcome::kCompleted;
  }
};

TEST_GROUP_BASE(UnreadableEntry, UnreadableEntryFixture){};

// LOST: fails when a long-running task waits for an end that cannot be read,
// although the list of running runs shows that its run has ended, or when that
// costs the other runs of the worker.
TEST(UnreadableEntry, LongRunningTaskStartsAgainAtOnce) {
  AddWorker("w", "10.0.0.1:80");
  SubmitTask("neighbour", true);
  SubmitLongRunningTask();
  CHECK(RunsWithin("job", kPlacement));
  RunFor(Milliseconds(1'500));
  const RunKey neighbour({"neighbour", 0, 0, 0}, 1);
  EndRunOf("job", "failed", true);
  CHECK(RunsWithin("job", kPlacement));
  RunFor(Milliseconds(20'000));
  LONGS_EQUAL(2, workers_.at("w").runs.size());
  LONGS_EQUAL(0, workers_.at("w").highest_ended[neighbour.first]);
  LONGS_EQUAL(0, starts_too_many_);
}

// LOST: fails when an ordinary task waits for such an end without a bound.
// TWICE: fails when it starts again before the lease has lapsed.
TEST(UnreadableEntry, OrdinaryTaskStartsAgainAfterTheLease) {
  for (const bool has_neighbour : {false, true}) {
    for (const char* reason : {"done", "failed", "stopped"}) {
      Restart();
      AddWorker("w", "10.0.0.1:80");
      SubmitTask("job", false);
      CHECK(RunsWithin("job", kPlacement));
      if (has_neighbour) {
        SubmitTask("neighbour", true);
      }
      AddWorker("other", "10.0.0.2:80");
      EndRunOf("job", reason, true);
      CHECK(RunsWithin("job", kBound));
      RunFor(Milliseconds(500));
      EndRunOf("job", "done", false);
      RunFor(Milliseconds(10'000));
      CHECK(IsCompleted("job"));
      LONGS_EQUAL(has_neighbour ? 1 : 0, CountRunsOf("neighbour"));
      LONGS_EQUAL(0, starts_too_many_);
    }
  }
}

// TWICE: fails when the acknowledgement of a later end lets the worker forget
// an end `done` that could not be read.
TEST(UnreadableEntry, EndBehindAnUnreadableOneIsNotAcknowledged) {
  for (const Milliseconds gap : {Milliseconds(0), Milliseconds(100),
                                 Milliseconds(1'000), Milliseconds(3'000)}) {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    SubmitTask("job", false);
    SubmitTask("behind", false);
    CHECK(RunsWithin("job", kPlacement));
    CHECK(RunsWithin("behind", kPlacement));
    RunFor(Milliseconds(1'500));
    EndRunOf("job", "done", true);
    RunFor(gap);
    EndRunOf("behind", "done", false);
    CHECK(RunsWithin("job", kBound));
    CHECK(IsCompleted("behind"));
    RunFor(Milliseconds(1'000));
    EndRunOf("job", "done", false);
    RunFor(Milliseconds(1'000));
    CHECK(IsCompleted("job"));
    LONGS_EQUAL(0, starts_too_many_);
  }
}

// TWICE: fails in the same way when the unreadable end is that of a run whose
// start had no response, so that its end is not expected yet.
TEST(UnreadableEntry, EndOfAStartWithoutAResponseIsNotAcknowledged) {
  AddWorker("w", "10.0.0.1:80");
  SubmitTask("behind", false);
  CHECK(RunsWithin("behind", kPlacement));
  RunFor(Milliseconds(1'500));
  loses_response_ = [](const WorkerOrder& order) {
    return std::holds_alternative<StartOrder>(order.body);
  };
  SubmitTask("job", false);
  CHECK(RunsWithin("job", kPlacement));
  EndRunOf("job", "done", true);
  EndRunOf("behind", "done", false);
  RunFor(Milliseconds(1'000));
  loses_response_ = [](const WorkerOrder&) { return false; };
  CHECK(RunsWithin("job", kBound + Milliseconds(1'000)));
  LONGS_EQUAL(0, starts_too_many_);
}

// Fails when an end does not count that becomes readable before the lease has
// lapsed, or when the other runs of the worker are lost nevertheless.
TEST(UnreadableEntry, EndThatBecomesReadableCounts) {
  AddWorker("w", "10.0.0.1:80");
  SubmitTask("neighbour", true);
  SubmitTask("job", false);
  CHECK(RunsWithin("job", kPlacement));
  RunFor(Milliseconds(1'500));
  EndRunOf("job", "done", true);
  RunFor(Milliseconds(2'000));
  MakeEndsReadable();
  RunFor(Milliseconds(10'000));
  CHECK(IsCompleted("job"));
  LONGS_EQUAL(1, workers_.at("w").runs.size());
  LONGS_EQUAL(0, (workers_.at("w").highest_ended[{"neighbour", 0, 0, 0}]));
  LONGS_EQUAL(0, starts_too_many_);
}

// Fails when an end that becomes readable after the task has started again ends
// the new run or counts as a result beside it.
TEST(UnreadableEntry, EndThatBecomesReadableTooLateDoesNotCount) {
  AddWorker("w", "10.0.0.1:80");
  workers_.at("w").unreadable = true;
  SubmitTask("job", false);
  CHECK(RunsWithin("job", kPlacement));
  RunFor(Milliseconds(1'500));
  EndRunOf("job", "done", true);
  CHECK(RunsWithin("job", kBound));
  MakeEndsReadable();
  RunFor(Milliseconds(10'000));
  LONGS_EQUAL(1, CountRunsOf("job"));
  CHECK(!IsCompleted("job"));
  EndRunOf("job", "done", false);
  RunFor(Milliseconds(1'000));
  CHECK(IsCompleted("job"));
  LONGS_EQUAL(0, starts_too_many_);
}

// LOST: fails when a worker that lists such an entry for good is not used any
// more, after a takeover or without one, or loses its runs again and again.
TEST(UnreadableEntry, WorkerThatAlwaysListsOneIsUsed) {
  for (const bool takes_over : {false, true}) {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    workers_.at("w").unreadable = true;
    RunFor(Milliseconds(1'500));
    if (takes_over) {
      TakeOver();
    }
    SubmitTask("job", false);
    SubmitTask("lasting", true);
    CHECK(RunsWithin("job", kTakeoverBound));
    CHECK(RunsWithin("lasting", kPlacement));
    const auto ended = workers_.at("w").last_end;
    RunFor(Milliseconds(20'000));
    LONGS_EQUAL(ended, workers_.at("w").last_end);
    EndRunOf("job", "done", false);
    RunFor(Milliseconds(1'000));
    CHECK(IsCompleted("job"));
    CHECK(workers_.at("w").ends.empty());
  }
}

// LOST and TWICE: fails when a takeover holds the task of such an end without a
// bound, or lets it start again under a lease of the earlier leader.
TEST(UnreadableEntry, TakeoverDoesNotHoldTheTask) {
  for (const bool long_running : {false, true}) {
    for (const Milliseconds delay :
         {Milliseconds(0), Milliseconds(200), Milliseconds(2'000),
          Milliseconds(5'000)}) {
      Restart();
      AddWorker("w", "10.0.0.1:80");
      SubmitTask("job", long_running);
      CHECK(RunsWithin("job", kPlacement));
      RunFor(Milliseconds(1'500));
      EndRunOf("job", "done", true);
      RunFor(delay);
      TakeOver();
      CHECK(RunsWithin("job", kTakeoverBound));
      // A run that began before the takeover may lose its lease once.
      RunFor(kTakeoverBound);
      CHECK(RunsWithin("job", kPlacement));
      LONGS_EQUAL(1, CountRunsOf("job"));
      LONGS_EQUAL(0, starts_too_many_);
    }
  }
}

// LOST: fails in the same way for a run that the new leader has seen running.
TEST(UnreadableEntry, EndOfAnAdoptedRunDoesNotHoldItsTask) {
  AddWorker("w", "10.0.0.1:80");
  SubmitTask("job", false);
  CHECK(RunsWithin("job", kPlacement));
  RunFor(Milliseconds(1'500));
  TakeOver();
  RunFor(Milliseconds(1'500));
  EndRunOf("job", "done", true);
  CHECK(RunsWithin("job", kTakeoverBound));
  LONGS_EQUAL(0, starts_too_many_);
}

// Fails when a run counts as ended, or loses its lease, because its own entry
// cannot be read: the ends are readable, and its end is not among them.
TEST(UnreadableEntry, RunInAnUnreadableEntryStaysActive) {
  for (const bool long_running : {false, true}) {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    SubmitTask("job", long_running);
    CHECK(RunsWithin("job", kPlacement));
    AddWorker("other", "10.0.0.2:80");
    Worker& worker = workers_.at("w");
    worker.unreadable_runs.insert(worker.runs.front());
    for (int tick = 0; tick < 2'000; ++tick) {
      RunFor(kTick);
      LONGS_EQUAL(1, worker.runs.size());
    }
    EndRunOf("job", "failed", false);
    CHECK(RunsWithin("job", kPlacement));
    LONGS_EQUAL(0, starts_too_many_);
  }
}

// TWICE: fails when a long-running task starts again beside its run, whose
// entry cannot be read, because the entry of some end cannot be read either.
TEST(UnreadableEntry, RunDoesNotCountAsEndedWhileBothListsAreUnreadable) {
  AddWorker("w", "10.0.0.1:80");
  SubmitLongRunningTask();
  CHECK(RunsWithin("job", kPlacement));
  AddWorker("other", "10.0.0.2:80");
  Worker& worker = workers_.at("w");
  worker.unreadable = true;
  worker.unreadable_runs.insert(worker.runs.front());
  RunFor(kBound);
  CHECK(RunsWithin("job", kPlacement));
  LONGS_EQUAL(0, starts_too_many_);
}

// LOST: fails when an unreadable entry of another run hides without a bound
// that the run of the task has ended, or when nothing tells that it stands.
TEST(UnreadableEntry, UnreadableListsHoldALongRunningTaskForTheLeaseOnly) {
  AddWorker("w", "10.0.0.1:80");
  SubmitTask("neighbour", false);
  SubmitLongRunningTask();
  CHECK(RunsWithin("job", kPlacement));
  CHECK(RunsWithin("neighbour", kPlacement));
  RunFor(Milliseconds(1'500));
  Worker& worker = workers_.at("w");
  for (const RunKey& run : worker.runs) {
    if (run.first.job.View() == "neighbour") {
      worker.unreadable_runs.insert(run);
    }
  }
  EndRunOf("job", "failed", true);
  RunFor(Milliseconds(1'500));
  const std::vector<StandingTask> standing =
      dispatcher_->FindStandingTasks(now_);
  LONGS_EQUAL(1, standing.size());
  CHECK(standing.front().reason == StandingReason::kUnreadableLists);
  CHECK(RunsWithin("job", kBound));
  LONGS_EQUAL(0, starts_too_many_);
}

// TWICE and LOST: any series of ends, unreadable or not, and takeovers. Once
// the entries are readable, each job ends.
TEST(UnreadableEntry, NoSeriesOfEndsRunsATaskTwice) {
  CHECK(rc::check("ends", [this] {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    AddWorker("other", "10.0.0.2:80");
    constexpr int kJobs = 4;
    const auto name = [](int job) { return "job" + std::to_string(job); };
    for (int job = 0; job < kJobs; ++job) {
      SubmitTask(name(job), job == 0);
    }
    const int events = *rc::gen::inRange(1, 25);
    for (int event = 0; event < events; ++event) {
      RunFor(Milliseconds(*rc::gen::inRange(0, 1'500)));
      const std::string job = name(*rc::gen::inRange(0, kJobs));
      switch (*rc::gen::inRange(0, 12)) {
        case 0:
          TakeOver();
          break;
        case 1:
          MakeEndsReadable();
          break;
        case 2:
          workers_.at("w").unreadable = true;
          break;
        case 3:
          for (auto& [id, worker] : workers_) {
            worker.unreadable_runs.insert(worker.runs.begin(),
                                          worker.runs.end());
          }
          break;
        case 4:
        case 5:
          EndRunOf(job, "stopped", *rc::gen::inRange(0, 2) == 0);
          break;
        default:
          EndRunOf(job, job == name(0) ? "stopped" : "done",
                   *rc::gen::inRange(0, 3) > 0);
          break;
      }
      RC_ASSERT(starts_too_many_ == 0);
    }
    const bool stays_unreadable = *rc::gen::arbitrary<bool>();
    if (!stays_unreadable) {
      MakeEndsReadable();
    }
    for (int job = 0; job < kJobs; ++job) {
      const MonotonicTime end = now_ + 2 * kTakeoverBound;
      while (!IsCompleted(name(job)) && CountRunsOf(name(job)) == 0 &&
             now_ < end) {
        RunFor(kTick);
      }
      RC_ASSERT(IsCompleted(name(job)) || CountRunsOf(name(job)) == 1);
    }
    RC_ASSERT(starts_too_many_ == 0);
  }));
}

}  // namespace
}  // namespace bramleyrail
