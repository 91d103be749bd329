// LOST: orders with an unknown outcome, and orders that are executed late. Each
// test bounds the time for which a long-running task stands still.

#include "packages/dispatch/tests/order_delivery_fixture.h"

namespace bramleyrail {
namespace {

// Three starts without a response, one after the other, with the pauses
// between them.
constexpr Milliseconds kStartAttempts{3 * 1'050};
// A stop with a response, the lease renewal that is in progress then, and the
// next one, whose list shows that the run has ended.
constexpr Milliseconds kConfirmedStop{50 + 2 * 1'050};
// From the moment when the task is ready: the pause between attempts to place
// it, the record and the start.
constexpr Milliseconds kPlacement{200};
constexpr Milliseconds kUnknownStartBound =
    kStartAttempts + kConfirmedStop + kPlacement;
// A task that may have crashed its worker waits for one without recent runs.
constexpr Milliseconds kIsolationWait{1'000};
// After the last lease of a silent worker: the renewals that grant leases until
// the silence shows, a slow clock, the margin, and the confirming renewal.
constexpr Milliseconds kSilenceAfterLease{1'000 + 100 + 400 + 1'000 + 400};
// A whole lease and the above.
constexpr Milliseconds kSilence = Milliseconds(5'000) + kSilenceAfterLease;
constexpr Milliseconds kTakeoverSilence{5'100 + 600 + 1'000 + 400};
constexpr Milliseconds kDelays[] = {Milliseconds(600),   Milliseconds(2'000),
                                    Milliseconds(4'000), Milliseconds(6'000),
                                    Milliseconds(8'000), Milliseconds(12'000)};

bool IsStart(const WorkerOrder& order) {
  return std::holds_alternative<StartOrder>(order.body);
}

bool IsStop(const WorkerOrder& order) {
  return std::holds_alternative<StopOrder>(order.body);
}

struct LateOrderFixture : public OrderDeliveryFixture {
  // The first start orders, and the first stop orders, are delivered in this
  // way.
  int starts_with_fault_ = 0;
  Delivery start_delivery_;
  int stops_with_fault_ = 0;
  Delivery stop_delivery_;

  void setup() override {
    OrderDeliveryFixture::setup();
    delivery_ = [this](const WorkerOrder& order) {
      if (IsStart(order) && starts_with_fault_ > 0) {
        --starts_with_fault_;
        return start_delivery_;
      }
      if (IsStop(order) && stops_with_fault_ > 0) {
        --stops_with_fault_;
        return stop_delivery_;
      }
      return Delivery();
    };
  }

  void AddWorker(const std::string& id, const std::string& address) {
    StartWorker(id, address);
    Register(id);
    RunFor(Milliseconds(100));
  }

  // The longest time without a run in this time.
  Milliseconds LongestStandstill(Milliseconds duration) {
    const MonotonicTime end = now_ + duration;
    Milliseconds longest(0);
    Milliseconds current(0);
    while (now_ < end) {
      RunFor(kTick);
      current = IsRunning() ? Milliseconds(0) : current + kTick;
      longest = std::max(longest, current);
    }
    return longest;
  }

  size_t CountRuns() const {
    size_t count = 0;
    for (const auto& [id, worker] : workers_) {
      count += worker.runs.size();
    }
    return count;
  }
};

TEST_GROUP_BASE(LateOrder, LateOrderFixture){};

// Fails when a task waits for a run that has never begun: its stop was
// confirmed, and the worker lists neither the run nor an end.
TEST(LateOrder, RunThatNeverBeganDoesNotHoldItsTask) {
  AddWorker("w", "10.0.0.1:80");
  starts_with_fault_ = 3;
  start_delivery_ = Lost();
  SubmitLongRunningTask();
  CHECK(RunsWithin(kUnknownStartBound));
}

// Fails when a start that is executed late holds its task.
TEST(LateOrder, LateStartsDoNotHoldTheirTask) {
  for (const Milliseconds delay : kDelays) {
    for (int late = 1; late <= 4; ++late) {
      Restart();
      AddWorker("w", "10.0.0.1:80");
      starts_with_fault_ = late;
      start_delivery_ = Late(delay);
      SubmitLongRunningTask();
      CHECK(RunsWithin(kUnknownStartBound + kStartAttempts));
      // A late start of an earlier run may be executed after the new one.
      CHECK(LongestStandstill(Milliseconds(20'000)) <= kUnknownStartBound);
      LONGS_EQUAL(1, CountRuns());
    }
  }
}

// Fails when a stop that is executed late holds the task, or ends its next run
// for longer than that.
TEST(LateOrder, LateStopsDoNotHoldTheirTask) {
  for (const Milliseconds delay : kDelays) {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    starts_with_fault_ = 3;
    start_delivery_ = Lost();
    stops_with_fault_ = 2;
    stop_delivery_ = Late(delay);
    SubmitLongRunningTask();
    CHECK(RunsWithin(kUnknownStartBound + Milliseconds(2 * 1'050)));
    CHECK(LongestStandstill(Milliseconds(15'000)) <= kPlacement);
  }
}

// Fails when a start whose outcome is unknown holds its task after the worker
// was restarted, whether the later incarnation executes it or not.
TEST(LateOrder, StartOfAnEarlierIncarnationDoesNotHoldItsTask) {
  for (const Milliseconds registration :
       {Milliseconds(0), Milliseconds(1'500), Milliseconds(3'000)}) {
    for (const Milliseconds delay : kDelays) {
      Restart();
      AddWorker("w", "10.0.0.1:80");
      starts_with_fault_ = 1;
      start_delivery_ = Late(delay);
      SubmitLongRunningTask();
      RunFor(Milliseconds(500));
      StartWorker("w", "10.0.0.1:80");
      RunFor(registration);
      Register("w");
      CHECK(RunsWithin(kConfirmedStop + kIsolationWait + kPlacement));
      CHECK(LongestStandstill(Milliseconds(15'000)) <=
            kConfirmedStop + kIsolationWait + kPlacement);
      LONGS_EQUAL(1, CountRuns());
    }
  }
}

// Fails when lease renewals that are executed late hold the task of a worker
// that nobody hears, longer than its last lease.
TEST(LateOrder, LateRenewalsDoNotHoldTheTaskOfASilentWorker) {
  for (const Milliseconds delay : kDelays) {
    Restart();
    AddWorker("w", "10.0.0.1:80");
    SubmitLongRunningTask();
    CHECK(RunsWithin(kPlacement));
    AddWorker("other", "10.0.0.2:80");
    delivery_ = [delay](const WorkerOrder& order) {
      return order.worker.id == "w" ? Late(delay) : Delivery();
    };
    CHECK(LongestStandstill(Milliseconds(20'000)) <= kSilenceAfterLease);
    CHECK(IsRunning());
    delivery_ = [](const WorkerOrder&) { return Delivery(); };
    CHECK(LongestStandstill(Milliseconds(20'000)) <= kPlacement);
    LONGS_EQUAL(1, CountRuns());
  }
}

// Fails when the end of a run behind a long list of others holds its task.
TEST(LateOrder, EndBehindAFullListDoesNotHoldItsTask) {
  AddWorker("w", "10.0.0.1:80");
  SubmitLongRunningTask();
  CHECK(RunsWithin(kPlacement));
  Worker& worker = workers_.at("w");
  for (int64_t index = 0; index < 1'700; ++index) {
    End(&worker, {{"other", 0, 0, index}, 1}, "done");
  }
  End(&worker, worker.runs.front(), "failed");
  CHECK(RunsWithin(Milliseconds(500)));
}

// Fails when the end of a run that cannot be read holds the task for as long as
// the worker lists it: the lease was renewed on and on.
TEST(LateOrder, UnreadableEndDoesNotHoldItsTask) {
  AddWorker("w", "10.0.0.1:80");
  AddWorker("other", "10.0.0.2:80");
  SubmitLongRunningTask();
  CHECK(RunsWithin(kPlacement));
  for (auto& [id, worker] : workers_) {
    if (!worker.runs.empty()) {
      worker.next_end_unreadable = true;
      End(&worker, worker.runs.front(), "failed");
    }
  }
  CHECK(RunsWithin(kSilence));
}

// Fails when a recorded placement whose start was lost holds its task after a
// takeover.
TEST(LateOrder, RecordedStartThatWasLostDoesNotHoldItsTask) {
  AddWorker("w", "10.0.0.1:80");
  starts_with_fault_ = 1;
  start_delivery_ = Lost();
  SubmitLongRunningTask();
  RunFor(Milliseconds(100));
  TakeOver();
  CHECK(RunsWithin(Milliseconds(500) + kPlacement));
}

// Fails in the same way when a later incarnation of the worker registers before
// or after the takeover.
TEST(LateOrder, RecordedStartOnARestartedWorkerDoesNotHoldItsTask) {
  for (const bool registers_first : {true, false}) {
    for (const Milliseconds delay : kDelays) {
      Restart();
      AddWorker("w", "10.0.0.1:80");
      starts_with_fault_ = 1;
      start_delivery_ = Late(delay);
      SubmitLongRunningTask();
      RunFor(Milliseconds(100));
      StartWorker("w", "10.0.0.1:80");
      if (registers_first) {
        Register("w");
      }
      TakeOver();
      RunFor(Milliseconds(200));
      Register("w");
      CHECK(RunsWithin(kConfirmedStop + kIsolationWait + kPlacement));
      CHECK(LongestStandstill(Milliseconds(15'000)) <=
            kConfirmedStop + kIsolationWait + kPlacement);
      LONGS_EQUAL(1, CountRuns());
    }
  }
}

// Fails in the same way when the worker was withdrawn, or replaced at its
// address, before or after the takeover.
TEST(LateOrder, RecordedStartOnAnEndedWorkerDoesNotHoldItsTask) {
  for (const bool ends_first : {true, false}) {
    for (const bool replaced : {true, false}) {
      for (const bool unreachable : {true, false}) {
        Restart();
        AddWorker("w", "10.0.0.1:80");
        starts_with_fault_ = 1;
        start_delivery_ = Lost();
        SubmitLongRunningTask();
        RunFor(Milliseconds(100));
        if (!ends_first) {
          TakeOver();
        }
        workers_.erase("w");
        if (unreachable) {
          unreachable_.insert("w");
        }
        if (replaced) {
          StartWorker("other", "10.0.0.1:80");
        } else {
          Apply(RemoveWorker{"w", kUnixMs});
          StartWorker("other", "10.0.0.2:80");
        }
        Register("other");
        if (ends_first) {
          TakeOver();
        }
        CHECK(RunsWithin(kTakeoverSilence + kPlacement));
      }
    }
  }
}

}  // namespace
}  // namespace bramleyrail
