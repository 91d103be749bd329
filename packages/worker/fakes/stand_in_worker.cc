#include "packages/worker/fakes/stand_in_worker.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kTick{10};
constexpr Milliseconds kMeasurementInterval{1000};
constexpr Milliseconds kPauseAfterFailure{100};
// Attempts that wait for a permit make the worker poll without a wait.
constexpr Milliseconds kPauseBetweenPolls{20};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

DesiredAttemptState ParseDesired(const std::string& name) {
  for (const auto state :
       {DesiredAttemptState::kRun, DesiredAttemptState::kThrottle,
        DesiredAttemptState::kCheckpoint}) {
    if (name == DesiredAttemptStateName(state)) {
      return state;
    }
  }
  return DesiredAttemptState::kStop;
}

Json AmountsToJson(const ResourceAmounts& amounts) {
  return {{"processor_millis", amounts.processor_millis},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

}  // namespace

StandInWorker::StandInWorker(Options options)
    : options_(std::move(options)), log_(options_.attempt_log) {
  if (options_.boot_id.empty()) {
    options_.boot_id = NewUniqueId();
  }
  BRAMLEYRAIL_ASSERT(!options_.addresses.empty(),
                     "a worker needs the address of an instance");
}

StandInWorker::~StandInWorker() {
  Stop();
}

void StandInWorker::Start() {
  poll_thread_ = std::thread([this] { PollLoop(); });
  task_thread_ = std::thread([this] { TaskLoop(); });
}

void StandInWorker::Stop() {
  if (stopping_.exchange(true) || !poll_thread_.joinable()) {
    return;
  }
  poll_thread_.join();
  task_thread_.join();
  {
    absl::MutexLock lock(&mutex_);
    for (auto& [task_id, attempt] : attempts_) {
      if (!attempt.HasEnded()) {
        End(task_id, &attempt, ReportedAttemptState::kStopped, Now());
      }
    }
  }
  PollOnce(Milliseconds::zero());
}

void StandInWorker::TaskLoop() {
  while (!stopping_) {
    {
      absl::MutexLock lock(&mutex_);
      Tick(Now());
    }
    std::this_thread::sleep_for(kTick);
  }
}

void StandInWorker::PollLoop() {
  while (!stopping_) {
    const Milliseconds wait = WaitForPoll();
    if (!PollOnce(wait)) {
      address_ = (address_ + 1) % options_.addresses.size();
      std::this_thread::sleep_for(kPauseAfterFailure);
    } else if (wait == Milliseconds::zero()) {
      std::this_thread::sleep_for(kPauseBetweenPolls);
    }
  }
}

Milliseconds StandInWorker::WaitForPoll() {
  absl::MutexLock lock(&mutex_);
  // A permit counts from the sending of the poll, so a poll that waits brings
  // a permit that is partly used up.
  const bool needs_permit =
      std::any_of(attempts_.begin(), attempts_.end(), [](const auto& entry) {
        return entry.second.state == ReportedAttemptState::kAccepted;
      });
  return needs_permit ? Milliseconds::zero() : options_.poll_wait;
}

bool StandInWorker::PollOnce(Milliseconds wait) {
  httplib::Client client("http://" + options_.addresses[address_]);
  client.set_connection_timeout(std::chrono::milliseconds(500));
  client.set_read_timeout(wait + std::chrono::milliseconds(1000));
  const MonotonicTime sent = Now();
  const auto result =
      client.Post(("/v1/workers/" + options_.name + "/poll").c_str(),
                  WritePoll(wait), "application/json");
  if (!result || result->status != 200) {
    return false;
  }
  const auto answer = ParseJson(result->body, JsonComments::kRefuse);
  if (!answer.has_value()) {
    return false;
  }
  ApplyAnswer(answer.value(), sent);
  return !answer.value().value("draining", false);
}

std::string StandInWorker::WritePoll(Milliseconds wait) {
  absl::MutexLock lock(&mutex_);
  Json poll = {{"boot_id", options_.boot_id},
               {"failure_domain", options_.spec.failure_domain},
               {"rack", options_.spec.rack},
               {"capacity", AmountsToJson(options_.spec.capacity)},
               {"known_version", known_version_},
               {"wait_ms", wait.count()},
               {"attempts", Json::array()},
               {"usage", Json::array()}};
  for (const auto& [task_id, attempt] : attempts_) {
    poll["attempts"].push_back(
        {{"task_id", task_id},
         {"attempt", attempt.number},
         {"state", std::string(ReportedAttemptStateName(attempt.state))},
         {"checkpoint", attempt.task.checkpoint()},
         {"message", attempt.message},
         {"ran_ms", attempt.task.progress_ms()}});
  }
  while (!usage_.empty() && usage_.front().due <= Now()) {
    const AttemptUsage& usage = usage_.front().usage;
    Json entry = AmountsToJson(usage.used);
    entry["task_id"] = usage.task_id;
    entry["attempt"] = usage.attempt;
    entry["slowdown_permille"] = usage.slowdown_permille;
    poll["usage"].push_back(std::move(entry));
    usage_.pop_front();
  }
  return poll.dump();
}

void StandInWorker::ApplyAnswer(const Json& answer, MonotonicTime sent) {
  absl::MutexLock lock(&mutex_);
  const auto grant = [&](const char* field, MonotonicTime* end) {
    if (answer.contains(field)) {
      *end = std::max(*end, sent + Milliseconds(answer[field].get<int64_t>()));
    }
  };
  grant("lease_ms", &lease_end_);
  grant("start_permit_ms", &permit_end_);
  if (answer.value("suspended", false)) {
    permit_end_ = {};
  }
  // Another instance may know less than the one that was asked before. Its
  // list must not bring back or end attempts.
  const auto revision = answer.value("revision", int64_t{0});
  if (revision < newest_revision_) {
    return;
  }
  newest_revision_ = revision;
  known_version_ = answer.value("version", "");
  ApplyAttempts(answer.at("attempts"), Now());
}

void StandInWorker::ApplyAttempts(const Json& attempts, MonotonicTime now) {
  std::map<std::string, int64_t> listed;
  for (const Json& entry : attempts) {
    const auto task_id = entry.at("task_id").get<std::string>();
    const auto number = entry.at("attempt").get<int64_t>();
    const auto desired = ParseDesired(entry.at("desired").get<std::string>());
    listed[task_id] = number;
    auto found = attempts_.find(task_id);
    if (found != attempts_.end() && found->second.number != number) {
      if (!found->second.HasEnded()) {
        End(task_id, &found->second, ReportedAttemptState::kStopped, now);
      }
      attempts_.erase(found);
      found = attempts_.end();
    }
    if (found == attempts_.end()) {
      if (!entry.contains("payload")) {
        continue;
      }
      Attempt attempt{.number = number,
                      .task = StandInTask(entry.value("payload", ""),
                                          entry.value("checkpoint", ""))};
      if (entry.value("when_partitioned", "stop") == "run_on") {
        attempt.when_partitioned = PartitionBehaviour::kKeepRunning;
      }
      found = attempts_.emplace(task_id, std::move(attempt)).first;
    }
    Attempt& attempt = found->second;
    attempt.checkpoint_requested =
        attempt.checkpoint_requested ||
        (desired == DesiredAttemptState::kCheckpoint &&
         attempt.desired != DesiredAttemptState::kCheckpoint);
    attempt.desired = desired;
  }
  // What is not listed any more has taken effect, or was withdrawn.
  for (auto entry = attempts_.begin(); entry != attempts_.end();) {
    if (listed.contains(entry->first)) {
      ++entry;
      continue;
    }
    if (!entry->second.HasEnded()) {
      End(entry->first, &entry->second, ReportedAttemptState::kStopped, now);
    }
    entry = attempts_.erase(entry);
  }
}

void StandInWorker::Tick(MonotonicTime now) {
  for (auto& [task_id, attempt] : attempts_) {
    TickAttempt(task_id, &attempt, now);
  }
  MeasureUsage(now);
}

void StandInWorker::TickAttempt(const std::string& task_id,
                                Attempt* attempt,
                                MonotonicTime now) {
  if (attempt->HasEnded()) {
    return;
  }
  if (attempt->IsRunning()) {
    TickRunning(task_id, attempt, now);
    return;
  }
  if (attempt->desired == DesiredAttemptState::kStop) {
    End(task_id, attempt, ReportedAttemptState::kStopped, now);
    return;
  }
  if (attempt->desired != DesiredAttemptState::kCheckpoint &&
      now < permit_end_ && now < lease_end_) {
    log_.Start(now, options_.name, options_.boot_id, task_id, attempt->number);
    attempt->state = ReportedAttemptState::kRunning;
    attempt->advanced_at = now;
  }
}

void StandInWorker::TickRunning(const std::string& task_id,
                                Attempt* attempt,
                                MonotonicTime now) {
  // Comes first: a worker that was paused past its lease does nothing more.
  // The record carries the end of the lease, since the timer did not advance
  // after it.
  if (attempt->when_partitioned == PartitionBehaviour::kStop &&
      now >= lease_end_) {
    attempt->message = "the lease expired";
    End(task_id, attempt, ReportedAttemptState::kStopped, lease_end_);
    return;
  }
  if (attempt->desired == DesiredAttemptState::kStop) {
    End(task_id, attempt, ReportedAttemptState::kStopped, now);
    return;
  }
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(now - attempt->advanced_at);
  attempt->advanced_at += elapsed;
  const bool throttled = attempt->desired == DesiredAttemptState::kThrottle;
  if (attempt->task.Advance(elapsed, throttled)) {
    attempt->message = attempt->task.fails() ? "the payload asks to fail" : "";
    End(task_id, attempt,
        attempt->task.fails() ? ReportedAttemptState::kFailed
                              : ReportedAttemptState::kCompleted,
        now);
  } else if (std::exchange(attempt->checkpoint_requested, false)) {
    attempt->task.WriteCheckpoint();
  }
}

void StandInWorker::MeasureUsage(MonotonicTime now) {
  if (now < next_measurement_) {
    return;
  }
  next_measurement_ = now + kMeasurementInterval;
  for (const auto& [task_id, attempt] : attempts_) {
    const StandInTask& task = attempt.task;
    if (attempt.IsRunning() && task.used().processor_millis > 0) {
      usage_.push_back(
          {now + options_.usage_lag,
           {task_id, attempt.number, task.used(), task.slowdown_permille()}});
    }
  }
}

void StandInWorker::End(const std::string& task_id,
                        Attempt* attempt,
                        ReportedAttemptState state,
                        MonotonicTime when) {
  if (attempt->IsRunning()) {
    log_.End(when, options_.name, options_.boot_id, task_id, attempt->number,
             ReportedAttemptStateName(state));
  }
  attempt->state = state;
}

}  // namespace bramleyrail
