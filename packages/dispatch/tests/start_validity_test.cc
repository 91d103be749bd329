// TWICE: starts that are executed late. The leader gives a start up when the
// worker's clock shows that the worker rejects it from then on.

#include "packages/dispatch/tests/order_delivery_fixture.h"

namespace bramleyrail {
namespace {

constexpr const char* kLate = "late";
constexpr const char* kOther = "other";
// A long-running task starts on the worker that it fills the most.
constexpr int64_t kSmallCapacityMillis = 2'000;
constexpr Milliseconds kSettled{3'000};
constexpr Milliseconds kStarted{200};
constexpr Milliseconds kObserved{15'000};
// The phase of the lease renewals, at the start and between them.
constexpr Milliseconds kRenewalInterval{1'000};
constexpr Milliseconds kPhase{200};

struct StartValidityFixture : public OrderDeliveryFixture {
  int lost_starts_ = 0;
  Milliseconds delay_{0};

  // Starts the task on a worker that executes starts and stops this late and
  // does not answer them, but renews its lease in time.
  void Run(Milliseconds phase, int64_t clock_permille, Milliseconds reading) {
    Restart();
    delivery_ = [](const WorkerOrder&) { return Delivery(); };
    StartWorker(kLate, "10.0.0.1:80");
    Register(kLate);
    RunFor(kSettled + phase);
    Worker& worker = workers_[kLate];
    worker.clock_start =
        now_ - (now_ - worker.clock_start) * 1'000 / clock_permille;
    worker.clock_permille = clock_permille;
    reading_delay_ = reading;
    delivery_ = [this](const WorkerOrder& order) { return DeliveryOf(order); };
    SubmitLongRunningTask();
    RunFor(kStarted);
    StartWorker(kOther, "10.0.0.2:80").registration.capacity.processor_millis =
        kSmallCapacityMillis;
    Register(kOther);
  }

  // Whether the task runs twice at the same time.
  bool RunsTwice(Milliseconds duration) {
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      RunFor(kTick);
      if (workers_[kLate].runs.size() + workers_[kOther].runs.size() > 1) {
        return true;
      }
    }
    return false;
  }

  // All phases of the renewals, slow clocks, and lists that are read late.
  void CheckDelays(Milliseconds shortest, Milliseconds longest, int lost) {
    for (const Milliseconds reading :
         {Milliseconds(0), Milliseconds(400), Milliseconds(900)}) {
      for (const int64_t clock_permille : {980, 1'000}) {
        for (Milliseconds phase{0}; phase < kRenewalInterval; phase += kPhase) {
          for (delay_ = shortest; delay_ <= longest; delay_ += kPhase) {
            lost_starts_ = lost;
            Run(phase, clock_permille, reading);
            CHECK_FALSE(RunsTwice(kObserved));
          }
        }
      }
    }
  }

 private:
  Delivery DeliveryOf(const WorkerOrder& order) {
    if (order.worker.id != kLate ||
        std::holds_alternative<LeaseRenewalOrder>(order.body)) {
      return {};
    }
    if (std::holds_alternative<StartOrder>(order.body) && lost_starts_ > 0) {
      --lost_starts_;
      return Lost();
    }
    return Late(delay_);
  }
};

TEST_GROUP_BASE(StartValidity, StartValidityFixture){};

// Fails when a start is given up while its worker's clock, which may be slow,
// still lets it in.
TEST(StartValidity, LateStartIsNotExecutedBesideTheNextRun) {
  CheckDelays(Milliseconds(4'000), Milliseconds(6'400), 0);
}

// Fails when a repeated start is valid for longer than the first one.
TEST(StartValidity, RepeatedStartIsNotExecutedBesideTheNextRun) {
  CheckDelays(Milliseconds(2'400), Milliseconds(4'800), 1);
}

}  // namespace
}  // namespace bramleyrail
