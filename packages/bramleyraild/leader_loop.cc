#include "packages/bramleyraild/leader_loop.h"

#include <utility>

#include "absl/time/time.h"
#include "packages/bramleyraild/bramleyraild_events.h"

namespace bramleyrail {

namespace {

// Urgent work must start within 4.3 s; a step every 50 ms takes a small part
// of it and leaves time to gather commands into one batch.
constexpr absl::Duration kStepInterval = absl::Milliseconds(50);

// Callers resend within minutes; a day also covers a caller that was down over
// night.
constexpr Milliseconds kRecordRetention{24 * 3600 * 1000};
constexpr Milliseconds kForgetInterval{60'000};

void LogRefusal(std::string_view command,
                const Result<CommandOutcome>& outcome) {
  if (!outcome) {
    LogEvent(kControllerCommandRefused,
             {{"command", command}, {"error", outcome.error().ToString()}});
    return;
  }
  if (outcome.value().refusal) {
    LogEvent(
        kControllerCommandRefused,
        {{"command", command}, {"error", outcome.value().refusal->ToString()}});
  }
}

}  // namespace

LeaderLoop::LeaderLoop(Options options) : options_(std::move(options)) {}

LeaderLoop::~LeaderLoop() {
  Stop();
}

std::unique_ptr<LeaderLoop> LeaderLoop::Create(Options options) {
  return std::unique_ptr<LeaderLoop>(new LeaderLoop(std::move(options)));
}

void LeaderLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LeaderLoop::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool LeaderLoop::DeliverReports(std::vector<WorkerReport> reports) {
  std::shared_ptr<Controller> controller;
  {
    absl::MutexLock lock(&mutex_);
    controller = controller_;
  }
  if (controller == nullptr) {
    return false;
  }
  for (WorkerReport& report : reports) {
    controller->EnqueueReport(std::move(report));
  }
  return true;
}

void LeaderLoop::Run() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), kStepInterval)) {
        return;
      }
    }
    StepOnce();
  }
}

std::shared_ptr<Controller> LeaderLoop::CurrentController() {
  const bool leads = options_.is_leader();
  absl::MutexLock lock(&mutex_);
  if (!leads) {
    controller_ = nullptr;
  } else if (controller_ == nullptr) {
    controller_ = std::make_shared<Controller>(options_.controller);
  }
  return controller_;
}

void LeaderLoop::StepOnce() {
  const std::shared_ptr<Controller> controller = CurrentController();
  if (controller == nullptr) {
    return;
  }
  std::vector<Command> commands;
  options_.state.read([&](const ClusterState& state) {
    commands = controller->Step(state, options_.clock());
  });
  for (Command& command : commands) {
    Propose(std::move(command));
  }
  ForgetOldRecords();
}

void LeaderLoop::ForgetOldRecords() {
  const MonotonicTime now = options_.clock();
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kForgetInterval;
  Command command;
  command.body = PurgeBefore{UnixMilliseconds() - kRecordRetention.count()};
  Propose(std::move(command));
}

void LeaderLoop::Propose(Command command) {
  // Points to a constant, so it outlives the command.
  const std::string_view name = CommandName(command.body);
  options_.state.propose(std::move(command),
                         [name](const Result<CommandOutcome>& outcome) {
                           LogRefusal(name, outcome);
                         });
}

}  // namespace bramleyrail
