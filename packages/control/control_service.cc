#include "packages/control/control_service.h"

#include <utility>

#include "packages/control/account_listing.h"
#include "packages/control/control_events.h"
#include "packages/control/registration_check.h"

namespace bramleyrail {

namespace {

// Revision of a worker without a registration.
constexpr int64_t kNotRegistered = -1;

Error NotLeading() {
  return MakeError(ErrorKind::kUnavailable, "this instance does not lead",
                   "send the request to the leader");
}

Error NoSuchQueue(const ControlService::QueuePath& path) {
  return MakeError(ErrorKind::kNotFound,
                   "no queue at '" + path.host + path.path + "'",
                   "check the host and the path against the configuration");
}

JobStatus ViewOf(JobOutcome outcome, bool started) {
  switch (outcome) {
    case JobOutcome::kOpen:
      return started ? JobStatus::kRunning : JobStatus::kQueued;
    case JobOutcome::kCompleted:
      return JobStatus::kCompleted;
    case JobOutcome::kFailed:
      return JobStatus::kFailed;
    case JobOutcome::kCancelled:
      return JobStatus::kCancelled;
  }
  return JobStatus::kQueued;
}

// Returns a callback that logs the outcome of a command and reports whether it
// was committed.
ControlService::Callback<QueueOutcome> Acknowledge(
    std::function<void(const Result<QueueOutcome>&)> log,
    ControlService::Callback<void> callback) {
  return [log = std::move(log),
          callback = std::move(callback)](const Result<QueueOutcome>& outcome) {
    log(outcome);
    if (!outcome) {
      callback(outcome.error());
      return;
    }
    callback(Success());
  };
}

}  // namespace

ControlService::ControlService(IoLoop* loop,
                               ReplicatedQueue* queue,
                               DispatchLoop* dispatch,
                               std::set<std::string> failure_domains)
    : loop_(loop),
      queue_(queue),
      dispatch_(dispatch),
      failure_domains_(std::move(failure_domains)),
      alive_(std::make_shared<bool>(true)) {}

ControlService::~ControlService() {
  *alive_ = false;
}

bool ControlService::IsLeaderNow() const {
  return leads() && queue_->replica().IsLeader();
}

void ControlService::Propose(QueueCommandBody body,
                             Callback<QueueOutcome> callback) {
  queue_->Propose(std::move(body), [loop = loop_, alive = alive_,
                                    callback = std::move(callback)](
                                       Result<QueueOutcome> outcome) {
    loop->Post([alive, callback, outcome = std::move(outcome)] {
      if (*alive) {
        callback(outcome);
      }
    });
  });
}

Result<ControlService::QueueLocation> ControlService::FindQueueLocation(
    const QueuePath& path) const {
  return queue_->Read([&path](
                          const QueueState& state) -> Result<QueueLocation> {
    const JobQueue* queue =
        state.configuration().FindQueue(path.host, path.path);
    if (queue == nullptr) {
      if (state.configuration().version == 0) {
        return MakeError(ErrorKind::kUnavailable,
                         "no queue configuration is stored",
                         "store a configuration first");
      }
      return NoSuchQueue(path);
    }
    return QueueLocation{*queue, path.path.substr(queue->path_prefix.size())};
  });
}

Result<CallAuthorization> ControlService::Authorize(
    const QueuePath& path,
    const CallerCredentials& credentials) {
  const auto location = FindQueueLocation(path);
  CallAuthorization authorization;
  if (location) {
    authorization = queue_->Read([&](const QueueState& state) {
      const auto& [queue, job] = location.value();
      return authorizer_.Decide(state.configuration(), queue,
                                state.FindJob(job), credentials);
    });
  }
  // Checked after the lookup: a newer leader may have stored a configuration
  // that allows the call.
  if (!IsLeaderNow()) {
    return NotLeading();
  }
  if (!location) {
    return location.error();
  }
  if (authorization.refusal) {
    authorizer_.Report(*authorization.refusal, location.value().queue.name,
                       authorization.account, std::chrono::steady_clock::now());
  }
  return authorization;
}

void ControlService::Submit(const QueuePath& path,
                            std::string account,
                            JobSpecification job,
                            Callback<SubmitAnswer> callback) {
  const auto location = FindQueueLocation(path);
  if (!IsLeaderNow() || !location) {
    callback(location ? NotLeading() : location.error());
    return;
  }
  Result<void> valid = ValidateRequestId(location.value().job);
  if (valid) {
    valid = ValidateJob(job);
  }
  if (!valid) {
    callback(valid.error());
    return;
  }
  const JobQueue& queue = location.value().queue;
  SubmitJob command;
  command.id = location.value().job;
  command.queue = queue.name;
  command.pool = queue.pool;
  command.maximum_attempts = queue.maximum_attempts;
  command.priority = queue.priority;
  command.stretch_factor = queue.stretch_factor;
  command.target_latency_ms = queue.target_latency_ms;
  command.specification = std::move(job);
  command.account = std::move(account);
  const Result<AdmissionDecision> decision = dispatch_->Admit(command);
  if (!decision || !decision.value().admitted) {
    // A newer leader may have accepted the job meanwhile.
    if (!IsLeaderNow()) {
      callback(NotLeading());
    } else if (!decision) {
      callback(decision.error());
    } else {
      callback(SubmitAnswer{.retry_after = decision.value().retry_after});
    }
    return;
  }
  const std::string id = command.id;
  const auto log = [id, account = command.account,
                    name = queue.name](const Result<QueueOutcome>& outcome) {
    if (outcome) {
      LogEvent(kJobAccepted, {{"job", id},
                              {"queue", name},
                              {"account", account},
                              {"new", outcome.value().changed}});
    } else {
      LogEvent(kJobNotAccepted, {{"job", id},
                                 {"queue", name},
                                 {"error", outcome.error().ToString()}});
    }
  };
  Propose(
      std::move(command),
      [this, id, log, leader_epoch = dispatch_->dispatcher()->leader_epoch(),
       callback = std::move(callback)](const Result<QueueOutcome>& outcome) {
        log(outcome);
        if (outcome) {
          callback(SubmitAnswer());
          return;
        }
        if (outcome.error().kind == ErrorKind::kUnavailable) {
          dispatch_->WithdrawAdmission(id, leader_epoch);
        }
        callback(outcome.error());
      });
}

void ControlService::ReadJob(
    const QueuePath& path,
    const Callback<std::optional<JobStatus>>& callback) {
  const auto location = FindQueueLocation(path);
  if (!location) {
    callback(IsLeaderNow() ? location.error() : NotLeading());
    return;
  }
  const std::string& id = location.value().job;
  const auto outcome =
      queue_->Read([&id](const QueueState& state) -> std::optional<JobOutcome> {
        const QueuedJob* job = state.FindJob(id);
        return job == nullptr ? std::nullopt
                              : std::optional<JobOutcome>(job->outcome);
      });
  // Checked after the read, since a newer leader may have accepted further
  // jobs.
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  if (!outcome) {
    callback(std::optional<JobStatus>());
    return;
  }
  callback(std::optional<JobStatus>(
      ViewOf(*outcome, dispatch_->dispatcher()->HasStarted(id))));
}

void ControlService::Cancel(const QueuePath& path, Callback<bool> callback) {
  const auto location = FindQueueLocation(path);
  if (!IsLeaderNow() || !location) {
    callback(location ? NotLeading() : location.error());
    return;
  }
  const std::string id = location.value().job;
  Propose(CancelQueuedJob{id}, [id, callback = std::move(callback)](
                                   const Result<QueueOutcome>& outcome) {
    if (!outcome) {
      callback(outcome.error());
      return;
    }
    LogEvent(kJobCancelled, {{"job", id},
                             {"known", outcome.value().found},
                             {"changed", outcome.value().changed}});
    callback(outcome.value().found);
  });
}

void ControlService::CountPending(const QueuePath& path,
                                  const Callback<int64_t>& callback) {
  const auto location = FindQueueLocation(path);
  if (!location || !IsLeaderNow()) {
    callback(IsLeaderNow() ? location.error() : NotLeading());
    return;
  }
  callback(
      dispatch_->dispatcher()->CountWaitingJobs(location.value().queue.name));
}

void ControlService::ReplaceConfiguration(QueueConfiguration configuration,
                                          Callback<void> callback) {
  if (const auto valid = ValidateQueues(configuration); !valid) {
    LogEvent(kConfigurationOrdered, {{"version", configuration.version},
                                     {"accepted", false},
                                     {"error", valid.error().ToString()}});
    callback(valid.error());
    return;
  }
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  const int64_t version = configuration.version;
  const auto log = [version](const Result<QueueOutcome>& outcome) {
    LogEvent(kConfigurationOrdered,
             {{"version", version},
              {"accepted", outcome.has_value()},
              {"changed", outcome && outcome.value().changed}});
  };
  Propose(bramleyrail::ReplaceConfiguration{std::move(configuration)},
          Acknowledge(log, std::move(callback)));
}

void ControlService::ReadConfiguration(Callback<std::string> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  // A leader that was partitioned or paused may not have noticed its successor.
  // An entry that commits after the call shows that the state is the newest.
  Propose(ReadBarrier{}, [this, callback = std::move(callback)](
                             const Result<QueueOutcome>& outcome) {
    if (!outcome) {
      callback(outcome.error());
      return;
    }
    const auto text = queue_->Read(
        [](const QueueState& state) { return state.configuration().text; });
    if (text.empty()) {
      callback(MakeError(ErrorKind::kUnavailable,
                         "no queue configuration is stored",
                         "store a configuration first"));
      return;
    }
    callback(text);
  });
}

void ControlService::ReadAccounts(const Callback<Json>& callback) const {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  const std::vector<AccountReport> reports =
      dispatch_->dispatcher()->AccountReports();
  callback(queue_->Read([&reports](const QueueState& state) {
    return ListAccounts(state.configuration(), reports);
  }));
}

void ControlService::ReadEvacuationRevision(const std::string& failure_domain,
                                            const Callback<int64_t>& callback) {
  const int64_t revision = queue_->Read([&](const QueueState& state) {
    return state.EvacuationRevision(failure_domain);
  });
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  callback(revision);
}

void ControlService::ReadWorkerRevision(const std::string& id,
                                        const Callback<int64_t>& callback) {
  const int64_t revision = queue_->Read([&](const QueueState& state) {
    const auto found = state.workers().find(id);
    return found == state.workers().end() ? kNotRegistered
                                          : found->second.started_unix_ms;
  });
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  callback(revision);
}

void ControlService::SetEvacuated(std::string failure_domain,
                                  bool evacuated,
                                  std::optional<int64_t> expected_revision,
                                  Callback<void> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  const auto finish = [failure_domain, evacuated,
                       callback = std::move(callback)](
                          const Result<QueueOutcome>& outcome) {
    const bool superseded = outcome && !outcome.value().found;
    LogEvent(kEvacuationOrdered,
             {{"failure_domain", failure_domain},
              {"evacuated", evacuated},
              {"accepted", outcome.has_value() && !superseded}});
    if (superseded) {
      callback(MakeError(ErrorKind::kConflict,
                         "another order was carried out meanwhile",
                         "read the revision and repeat the order"));
      return;
    }
    callback(outcome ? Result<void>(Success()) : Result<void>(outcome.error()));
  };
  Propose(bramleyrail::SetEvacuated{std::move(failure_domain), evacuated,
                                    expected_revision},
          finish);
}

void ControlService::HandleHeartbeat(WorkerHeartbeat heartbeat,
                                     Callback<void> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  WorkerRegistration& registration = heartbeat.registration;
  auto& [incarnation, sequence] = heartbeats_[registration.id];
  const std::pair newest(registration.started_unix_ms, heartbeat.sequence);
  if (newest < std::pair(incarnation, sequence)) {
    callback(Success());  // A newer heartbeat arrived first.
    return;
  }
  registration.heartbeat_sequence = heartbeat.sequence;
  const RegistrationCheck check = queue_->Read([&](const QueueState& state) {
    return CheckRegistration(state, registration, failure_domains_);
  });
  if (check == RegistrationCheck::kUnusable) {
    // Those of the worker itself, which may be older, must not count as late.
    LogEvent(kHeartbeatIgnored,
             {{"worker", registration.id},
              {"pool", registration.pool},
              {"failure_domain", registration.failure_domain}});
    callback(Success());
    return;
  }
  std::tie(incarnation, sequence) = newest;
  dispatch_->ObserveClock(registration.id, registration.started_unix_ms,
                          heartbeat.clock_ms);
  if (check == RegistrationCheck::kRecorded) {
    callback(Success());
    return;
  }
  const auto log = [registration, sequence = heartbeat.sequence](
                       const Result<QueueOutcome>& outcome) {
    LogEvent(kWorkerRegistered,
             {{"worker", registration.id},
              {"started_unix_ms", registration.started_unix_ms},
              {"address", registration.address},
              {"pool", registration.pool},
              {"failure_domain", registration.failure_domain},
              {"draining", registration.draining},
              {"sequence", sequence},
              {"accepted", outcome.has_value()}});
  };
  Propose(PutWorker{registration}, Acknowledge(log, std::move(callback)));
}

void ControlService::RemoveWorker(std::string id,
                                  std::optional<int64_t> expected_revision,
                                  Callback<void> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  if (expected_revision == kNotRegistered) {
    callback(Success());  // There is nothing to remove.
    return;
  }
  const auto log = [id](const Result<QueueOutcome>& outcome) {
    LogEvent(kWorkerWithdrawn,
             {{"worker", id}, {"accepted", outcome.has_value()}});
  };
  Propose(bramleyrail::RemoveWorker{id, expected_revision.value_or(0)},
          Acknowledge(log, std::move(callback)));
}

void ControlService::StartWave(MaintenanceWave wave, Callback<void> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  const auto log = [number = wave.number](const Result<QueueOutcome>& outcome) {
    LogEvent(kWaveOrdered,
             {{"wave", number}, {"accepted", outcome.has_value()}});
  };
  Propose(bramleyrail::StartWave{std::move(wave)},
          Acknowledge(log, std::move(callback)));
}

void ControlService::ReadWave(int64_t number, Callback<bool> callback) {
  if (!IsLeaderNow()) {
    callback(NotLeading());
    return;
  }
  const auto completed =
      queue_->Read([number](const QueueState& state) -> std::optional<bool> {
        const auto found = state.waves().find(number);
        if (found == state.waves().end()) {
          return std::nullopt;
        }
        return found->second.finished_machines.size() >=
               found->second.machines.size();
      });
  if (!completed) {
    callback(MakeError(ErrorKind::kNotFound,
                       "no maintenance wave has this number",
                       "check the number of the wave"));
    return;
  }
  callback(*completed);
}

}  // namespace bramleyrail
