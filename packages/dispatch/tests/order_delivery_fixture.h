#ifndef PACKAGES_DISPATCH_TESTS_ORDER_DELIVERY_FIXTURE_H_
#define PACKAGES_DISPATCH_TESTS_ORDER_DELIVERY_FIXTURE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/fakes/recorded_step.h"
#include "packages/dispatch/tests/delivery.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {

// Workers that execute orders as the protocol says. In contrast to FakePool,
// they delay the response to a lease renewal while no run ends, and the test
// decides on the delivery of each order.
struct OrderDeliveryFixture : public Utest {
  static constexpr int64_t kUnixMs = 1'000'000;
  static constexpr Milliseconds kTick{10};
  static constexpr Milliseconds kNetworkDelay{2};
  static constexpr Milliseconds kCallTimeout{1'000};
  static constexpr Milliseconds kHeartbeatInterval{500};
  static constexpr Milliseconds kMaximumLease{6'000};
  static constexpr size_t kListedEnds = 500;

  struct ListedEnd {
    ReportedFinishedRun end;
    bool unreadable = false;
    // The lease lapsed after the end, or a run of the task began after it.
    bool lapsed = false;
    bool followed = false;
  };
  struct Worker {
    WorkerRegistration registration;
    MonotonicTime clock_start;
    // The speed of its clock.
    int64_t clock_permille = 1'000;
    int64_t fence = 0;
    int64_t lease_until_ms = 0;
    std::vector<RunKey> runs;
    std::map<TaskName, uint64_t> highest_ended;
    std::vector<ListedEnd> ends;
    int64_t last_end = 0;
    // The worker always lists an end that cannot be read.
    bool unreadable = false;
    // The next end is in an entry that cannot be read.
    bool next_end_unreadable = false;
    // Runs in entries that cannot be read.
    std::set<RunKey> unreadable_runs;
  };
  struct OpenRenewal {
    WorkerOrder order;
    MonotonicTime sent;
    MonotonicTime respond_at;
    int64_t fence = 0;
  };

  QueueState state_;
  MonotonicTime now_{std::chrono::hours(1)};
  int64_t leader_epoch_ = 1;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::map<std::string, Worker> workers_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::vector<OpenRenewal> open_renewals_;
  MonotonicTime next_heartbeats_;
  // TWICE: tasks with an end `done` that was acknowledged while the lease of
  // its worker had not lapsed, and starts in spite of such an end or beside
  // another run.
  std::set<TaskName> done_tasks_;
  int starts_too_many_ = 0;
  // Workers whose machine is unreachable.
  std::set<std::string> unreachable_;
  std::function<Delivery(const WorkerOrder&)> delivery_ =
      [](const WorkerOrder&) { return Delivery(); };
  // Whether the response to an order that was executed in time gets lost.
  std::function<bool(const WorkerOrder&)> loses_response_ =
      [](const WorkerOrder&) { return false; };
  // The leader reads the lists of workers this long after they were sent.
  Milliseconds reading_delay_{0};

  void setup() override {
    QueueConfiguration configuration;
    configuration.version = 1;
    configuration.pools.push_back({.name = "pool"});
    Apply(ReplaceConfiguration{configuration});
    TakeOver();
  }

  // Begins again without any worker or job.
  void Restart() {
    dispatcher_.reset();
    state_ = QueueState();
    workers_.clear();
    events_.clear();
    open_renewals_.clear();
    unreachable_.clear();
    reading_delay_ = Milliseconds(0);
    done_tasks_.clear();
    starts_too_many_ = 0;
    setup();
  }

  void Apply(QueueCommandBody body) {
    state_.Apply({kUnixMs, std::move(body)});
    if (dispatcher_ != nullptr) {
      dispatcher_->Synchronize(state_, now_);
    }
  }

  // Responses to orders of the earlier leader are lost.
  void TakeOver() {
    dispatcher_.reset();
    open_renewals_.clear();
    leader_epoch_ =
        state_
            .Apply({kUnixMs, BeginLeadership{.instance = "leader",
                                             .records_placements = true,
                                             .longest_lease_ms = 5'000}})
            .leader_epoch;
    dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(),
                                               leader_epoch_, now_);
    dispatcher_->Synchronize(state_, now_);
  }

  // Starts a worker, or a later incarnation of the one with this id.
  Worker& StartWorker(const std::string& id, const std::string& address) {
    const auto found = workers_.find(id);
    Worker worker;
    worker.registration.id = id;
    worker.registration.started_unix_ms =
        found == workers_.end()
            ? kUnixMs
            : found->second.registration.started_unix_ms + 1;
    worker.registration.address = address;
    worker.registration.pool = "pool";
    worker.registration.failure_domain = "east";
    worker.registration.capacity = {8'000, 64'000, 0};
    worker.clock_start = now_;
    workers_[id] = std::move(worker);
    return workers_[id];
  }

  void Register(const std::string& id) {
    Apply(PutWorker{workers_.at(id).registration});
    SendHeartbeats();
  }

  void SubmitLongRunningTask() { SubmitTask("job", true); }

  void SubmitTask(const std::string& id, bool long_running) {
    SubmitJob job;
    job.id = id;
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 4;
    job.specification = FakePool::Job(1, 1);
    job.specification.steps[0].long_running = long_running;
    Apply(job);
  }

  bool IsRunning() const {
    return std::any_of(workers_.begin(), workers_.end(), [](const auto& item) {
      return !item.second.runs.empty();
    });
  }

  // Whether the task runs on a worker within this time.
  bool RunsWithin(Milliseconds limit) {
    const MonotonicTime end = now_ + limit;
    while (!IsRunning() && now_ < end) {
      RunFor(kTick);
    }
    return IsRunning();
  }

  void RunFor(Milliseconds duration) {
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      now_ += kTick;
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      EndExpiredLeases();
      RespondToRenewals();
      if (now_ >= next_heartbeats_) {
        SendHeartbeats();
      }
      for (const WorkerOrder& order :
           StepAndRecord(dispatcher_.get(), &state_, now_, kUnixMs)) {
        Send(order);
      }
      if (const auto batch = dispatcher_->TakeFinishedRuns();
          batch.number != 0) {
        Apply(RecordFinishedRuns{batch.finished_runs});
        dispatcher_->MarkFinishedRunsDurable(batch.number);
      }
    }
  }

  void End(Worker* worker, const RunKey& key, std::string reason) {
    std::erase(worker->runs, key);
    uint64_t& highest = worker->highest_ended[key.first];
    highest = std::max(highest, key.second);
    ++worker->last_end;
    const RunOutcome outcome = reason == "done"     ? RunOutcome::kDone
                               : reason == "failed" ? RunOutcome::kFailed
                                                    : RunOutcome::kInterrupted;
    worker->ends.push_back({{worker->last_end,
                             {key.first, key.second, outcome},
                             std::move(reason)},
                            std::exchange(worker->next_end_unreadable, false)});
  }

 private:
  int64_t ClockOf(const Worker& worker) const {
    const auto elapsed =
        std::chrono::floor<Milliseconds>(now_ - worker.clock_start);
    return elapsed.count() * worker.clock_permille / 1'000 + 1;
  }

  bool HasProcessAt(const std::string& address) const {
    return std::any_of(workers_.begin(), workers_.end(),
                       [&address](const auto& item) {
                         return item.second.registration.address == address;
                       });
  }

  // Heartbeats reach the leader by way of any instance.
  void SendHeartbeats() {
    next_heartbeats_ = now_ + kHeartbeatInterval;
    for (const auto& [id, worker] : workers_) {
      dispatcher_->ObserveClock(id, worker.registration.started_unix_ms,
                                ClockOf(worker), now_);
    }
  }

  void EndExpiredLeases() {
    for (auto& [id, worker] : workers_) {
      if (ClockOf(worker) <= worker.lease_until_ms) {
        continue;
      }
      while (!worker.runs.empty()) {
        End(&worker, worker.runs.front(), "lapsed");
      }
      for (ListedEnd& listed : worker.ends) {
        listed.lapsed = true;
      }
    }
  }

  void ExtendLease(Worker* worker, int64_t until_ms) const {
    worker->lease_until_ms =
        std::max(worker->lease_until_ms,
                 std::min(until_ms, ClockOf(*worker) + kMaximumLease.count()));
  }

  void Send(const WorkerOrder& order) {
    const Delivery delivery =
        unreachable_.contains(order.worker.id) ? Lost() : delivery_(order);
    const int64_t fence = leader_epoch_;
    const MonotonicTime sent = now_;
    if (delivery.kind == Delivery::Kind::kInTime) {
      events_.emplace(now_ + kNetworkDelay, [this, order, fence, sent] {
        Execute(order, fence, sent, true);
      });
      return;
    }
    TimeOut(order, fence, sent);
    if (delivery.kind == Delivery::Kind::kLate) {
      events_.emplace(now_ + delivery.delay, [this, order, fence, sent] {
        Execute(order, fence, sent, false);
      });
    }
  }

  // The leader's call ends without a response.
  void TimeOut(const WorkerOrder& order, int64_t fence, MonotonicTime sent) {
    Milliseconds timeout = kCallTimeout;
    if (const auto* renewal = std::get_if<LeaseRenewalOrder>(&order.body)) {
      timeout += renewal->wait;
    }
    events_.emplace(std::max(sent + timeout, now_ + kTick),
                    [this, order, fence, sent] {
                      Respond(order, fence, sent, OrderOutcome::kUnknown, {});
                    });
  }

  void Execute(const WorkerOrder& order,
               int64_t fence,
               MonotonicTime sent,
               bool respond) {
    const auto found = workers_.find(order.worker.id);
    if (found == workers_.end()) {
      if (respond) {
        Respond(order, fence, sent,
                HasProcessAt(order.worker.address)
                    ? OrderOutcome::kWrongWorker
                    : OrderOutcome::kConnectionRefused,
                {});
      }
      return;
    }
    Worker& worker = found->second;
    const bool restarted =
        worker.registration.started_unix_ms != order.worker.started_unix_ms;
    OrderOutcome outcome = OrderOutcome::kAccepted;
    if (fence < worker.fence) {
      outcome = OrderOutcome::kFenced;
    } else {
      worker.fence = fence;
      if (const auto* start = std::get_if<StartOrder>(&order.body)) {
        outcome = Start(&worker, *start);
      } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
        Stop(&worker, *stop);
      } else if (const auto* renewal =
                     std::get_if<LeaseRenewalOrder>(&order.body)) {
        Renew(&worker, *renewal);
        if (respond && !restarted) {
          open_renewals_.push_back({order, sent, now_ + renewal->wait, fence});
          return;
        }
      }
    }
    if (respond && loses_response_(order)) {
      TimeOut(order, fence, sent);
    } else if (respond) {
      Respond(order, fence, sent,
              restarted ? OrderOutcome::kRestarted : outcome, {});
    }
  }

  OrderOutcome Start(Worker* worker, const StartOrder& start) {
    if (start.lease_until_ms <= ClockOf(*worker)) {
      return OrderOutcome::kLeaseTooOld;
    }
    ExtendLease(worker, start.lease_until_ms);
    const auto ended = worker->highest_ended.find(start.task);
    if (ended != worker->highest_ended.end() && start.run <= ended->second) {
      return OrderOutcome::kRunTooOld;
    }
    const RunKey key(start.task, start.run);
    if (std::find(worker->runs.begin(), worker->runs.end(), key) ==
        worker->runs.end()) {
      ObserveStart(start.task);
      worker->runs.push_back(key);
    }
    return OrderOutcome::kAccepted;
  }

  void ObserveStart(const TaskName& task) {
    bool too_many = done_tasks_.contains(task);
    for (auto& [id, worker] : workers_) {
      too_many = too_many || std::any_of(worker.runs.begin(), worker.runs.end(),
                                         [&task](const RunKey& run) {
                                           return run.first == task;
                                         });
      for (ListedEnd& listed : worker.ends) {
        listed.followed =
            listed.followed || listed.end.finished_run.task == task;
      }
    }
    starts_too_many_ += too_many ? 1 : 0;
  }

  void ObserveAcknowledged(const ListedEnd& listed) {
    if (listed.end.reason != "done" || listed.lapsed) {
      return;
    }
    done_tasks_.insert(listed.end.finished_run.task);
    starts_too_many_ += listed.followed ? 1 : 0;
  }

  void Stop(Worker* worker, const StopOrder& stop) {
    const RunKey key(stop.task, stop.run);
    if (std::find(worker->runs.begin(), worker->runs.end(), key) !=
        worker->runs.end()) {
      End(worker, key, "stopped");
      return;
    }
    uint64_t& highest = worker->highest_ended[stop.task];
    highest = std::max(highest, stop.run);
  }

  void Renew(Worker* worker, const LeaseRenewalOrder& renewal) {
    if (renewal.lease_until_ms) {
      ExtendLease(worker, *renewal.lease_until_ms);
    }
    std::erase_if(worker->ends, [&](const ListedEnd& listed) {
      if (listed.end.number > renewal.acknowledged_through) {
        return false;
      }
      ObserveAcknowledged(listed);
      return true;
    });
  }

  void RespondToRenewals() {
    std::vector<OpenRenewal> due;
    std::erase_if(open_renewals_, [&](const OpenRenewal& renewal) {
      const auto worker = workers_.find(renewal.order.worker.id);
      const bool ready =
          now_ >= renewal.respond_at ||
          (worker != workers_.end() &&
           (worker->second.unreadable || !worker->second.ends.empty()));
      if (ready) {
        due.push_back(renewal);
      }
      return ready;
    });
    for (const OpenRenewal& renewal : due) {
      const auto worker = workers_.find(renewal.order.worker.id);
      const bool same = worker != workers_.end() &&
                        worker->second.registration.started_unix_ms ==
                            renewal.order.worker.started_unix_ms;
      if (loses_response_(renewal.order)) {
        TimeOut(renewal.order, renewal.fence, renewal.sent);
        continue;
      }
      const auto respond =
          [this, renewal,
           outcome = same ? OrderOutcome::kAccepted : OrderOutcome::kUnknown,
           lists = same ? ListsOf(worker->second) : LeaseRenewalResponse()] {
            Respond(renewal.order, renewal.fence, renewal.sent, outcome, lists);
          };
      if (reading_delay_ > Milliseconds(0)) {
        events_.emplace(now_ + reading_delay_, respond);
      } else {
        respond();
      }
    }
  }

  LeaseRenewalResponse ListsOf(const Worker& worker) const {
    LeaseRenewalResponse lists;
    lists.clock_ms = ClockOf(worker);
    for (const RunKey& key : worker.runs) {
      if (worker.unreadable_runs.contains(key)) {
        lists.running_complete = false;
      } else {
        lists.running.push_back({key.first, key.second, "", 100, std::nullopt});
      }
    }
    for (size_t i = 0; i < std::min(worker.ends.size(), kListedEnds); ++i) {
      if (worker.ends[i].unreadable) {
        lists.finished_complete = false;
      } else {
        lists.finished.push_back(worker.ends[i].end);
      }
    }
    lists.finished_complete = lists.finished_complete && !worker.unreadable;
    return lists;
  }

  void Respond(const WorkerOrder& order,
               int64_t fence,
               MonotonicTime sent,
               OrderOutcome outcome,
               const LeaseRenewalResponse& lists) {
    if (fence != leader_epoch_) {
      return;
    }
    if (const auto* start = std::get_if<StartOrder>(&order.body)) {
      dispatcher_->HandleStartResponse(order.worker, start->task, start->run,
                                       outcome, now_);
    } else if (const auto* stop = std::get_if<StopOrder>(&order.body)) {
      dispatcher_->HandleStopResponse(order.worker, stop->task, stop->run,
                                      outcome, now_);
    } else {
      dispatcher_->HandleLeaseRenewalResponse(order.worker, outcome, lists,
                                              sent, now_);
    }
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_ORDER_DELIVERY_FIXTURE_H_
