#ifndef PACKAGES_DISPATCH_TESTS_ONE_WORKER_FIXTURE_H_
#define PACKAGES_DISPATCH_TESTS_ONE_WORKER_FIXTURE_H_

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/fakes/recorded_step.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {

inline constexpr int64_t kUnixMs = 1'000'000;

// A dispatcher with one worker, whose orders and responses the test handles.
struct OneWorkerFixture : public Utest {
  QueueState state_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::unique_ptr<Dispatcher> dispatcher_;
  WorkerRegistration registration_;
  std::vector<std::pair<MonotonicTime, LeaseRenewalOrder>> open_renewals_;
  size_t starts_ = 0;

  void setup() override {
    QueueConfiguration configuration;
    configuration.version = 1;
    configuration.pools.push_back({.name = "pool"});
    Apply(ReplaceConfiguration{configuration});
    Apply(BeginLeadership{.instance = "leader", .records_placements = true});
    registration_.id = "w";
    registration_.started_unix_ms = kUnixMs;
    registration_.address = "10.0.0.1:80";
    registration_.pool = "pool";
    registration_.failure_domain = "east";
    registration_.capacity = {8'000, 64'000, 0};
    dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 1, now_);
    Apply(PutWorker{registration_});
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            {.clock_ms = 5'000}, now_, now_);
  }

  WorkerAddress Address() const {
    return {registration_.id, registration_.started_unix_ms,
            registration_.address};
  }

  void Apply(QueueCommandBody body) {
    state_.Apply({kUnixMs, std::move(body)});
    if (dispatcher_ != nullptr) {
      dispatcher_->Synchronize(state_, now_);
    }
  }

  void SubmitOneTask() {
    SubmitJob job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    Apply(job);
  }

  void SubmitOneLongRunningTask() {
    SubmitJob job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    job.specification.steps[0].long_running = true;
    Apply(job);
  }

  // A task that leaves no room for another one.
  void SubmitTaskThatFillsTheWorker(const std::string& id) {
    SubmitJob job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    job.specification.steps[0].size = registration_.capacity;
    Apply(job);
  }

  // Returns the crashes of workers that are to be recorded.
  std::vector<FinishedRun> TakeCrashes() {
    std::vector<FinishedRun> crashes;
    for (const FinishedRun& run :
         dispatcher_->TakeFinishedRuns().finished_runs) {
      if (run.outcome == RunOutcome::kCrashSuspected ||
          run.outcome == RunOutcome::kCrashAttributed) {
        crashes.push_back(run);
      }
    }
    return crashes;
  }

  // The worker lists these runs and nothing else.
  void ListRunning(int64_t clock_ms, const std::vector<RunKey>& runs) {
    LeaseRenewalResponse response;
    response.clock_ms = clock_ms;
    for (const auto& [task, run] : runs) {
      response.running.push_back({task, run, "", 50, std::nullopt});
    }
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_ - Milliseconds(1),
                                            now_);
  }

  // The worker lists finished runs with these numbers and nothing else.
  void ListFinished(int64_t clock_ms, const std::vector<int64_t>& numbers) {
    LeaseRenewalResponse response;
    response.clock_ms = clock_ms;
    for (const int64_t number : numbers) {
      ReportedFinishedRun finished;
      finished.number = number;
      finished.finished_run.task = {"other", 0, 0, number};
      response.finished.push_back(finished);
    }
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_, now_);
  }

  void RefuseRenewal() {
    dispatcher_->HandleLeaseRenewalResponse(
        Address(), OrderOutcome::kConnectionRefused, {}, now_, now_);
  }

  void FailRenewal() {
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kUnknown,
                                            {}, now_, now_);
  }

  void RespondFrom(const WorkerAddress& worker) {
    dispatcher_->HandleLeaseRenewalResponse(
        worker, OrderOutcome::kAccepted,
        {.clock_ms =
             std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count()},
        now_, now_);
  }

  void AddOtherWorker(const std::string& id = "other") {
    WorkerRegistration other = registration_;
    other.id = id;
    other.address =
        "10.0.0." + std::to_string(state_.workers().size() + 1) + ":80";
    Apply(PutWorker{other});
    RespondFrom({other.id, other.started_unix_ms, other.address});
  }

  // Steps for this time. Each lease renewal of the worker ends with the
  // outcome, this long after it was sent. Other workers respond at once.
  void StepInSilence(Milliseconds duration,
                     OrderOutcome outcome = OrderOutcome::kUnknown,
                     Milliseconds call_time = Milliseconds(1'000)) {
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      now_ += Milliseconds(10);
      std::erase_if(open_renewals_, [&](const auto& renewal) {
        if (now_ < renewal.first + call_time) {
          return false;
        }
        dispatcher_->HandleLeaseRenewalResponse(Address(), outcome, {},
                                                renewal.first, now_);
        return true;
      });
      for (const WorkerOrder& order :
           StepAndRecord(dispatcher_.get(), &state_, now_, kUnixMs)) {
        starts_ += std::holds_alternative<StartOrder>(order.body) ? 1 : 0;
        const auto* body = std::get_if<LeaseRenewalOrder>(&order.body);
        if (body != nullptr && order.worker.id == "w") {
          open_renewals_.emplace_back(now_, *body);
        } else if (body != nullptr) {
          RespondFrom(order.worker);
        }
      }
    }
  }

  // Starts one task, whose lease is known to have expired 5,512 ms from now.
  void StartOneTask() {
    now_ += Milliseconds(10'000);  // The lease of an earlier leader is over.
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            {.clock_ms = 15'000}, now_, now_);
    SubmitOneTask();
    StepInSilence(Milliseconds(10));
    LONGS_EQUAL(1, starts_);
    dispatcher_->HandleStartResponse(Address(), {"job", 0, 0, 0}, 1,
                                     OrderOutcome::kAccepted, now_);
  }

  // Returns the only lease renewal that is due after the time has passed.
  LeaseRenewalOrder StepToRenewal(Milliseconds elapsed) {
    const std::vector<LeaseRenewalOrder> due = Step<LeaseRenewalOrder>(elapsed);
    LONGS_EQUAL(1, due.size());
    return due.front();
  }

  // Returns the orders of one kind that are due after the time has passed.
  template <typename Order>
  std::vector<Order> Step(Milliseconds elapsed) {
    now_ += elapsed;
    std::vector<Order> found;
    for (const WorkerOrder& order :
         StepAndRecord(dispatcher_.get(), &state_, now_, kUnixMs)) {
      if (const auto* body = std::get_if<Order>(&order.body)) {
        found.push_back(*body);
      }
    }
    return found;
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_ONE_WORKER_FIXTURE_H_
