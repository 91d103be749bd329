#include "packages/worker/fakes/local_instance.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "packages/worker/report_codec.h"

namespace bramleyrail {

namespace {

constexpr absl::Duration kPatience = absl::Seconds(20);
constexpr Milliseconds kControllerStep{50};

}  // namespace

LocalInstance::LocalInstance(size_t threads) : controller_({}) {
  MakeAccess();
  WorkerServer::Options options;
  options.state = access_;
  options.threads = threads;
  options.queued_connections = 0;
  options.deliver_reports = [this](std::vector<WorkerReport> reports) {
    if (batches_to_drop_ > 0) {
      --batches_to_drop_;
      return;
    }
    // Through the codec, as from another instance.
    auto decoded = DecodeWorkerReports(EncodeWorkerReports(reports));
    BRAMLEYRAIL_ASSERT(decoded.has_value(), "a batch must survive the codec");
    for (WorkerReport& report : decoded.value()) {
      controller_.EnqueueReport(std::move(report));
    }
  };
  auto server = WorkerServer::Create(std::move(options));
  BRAMLEYRAIL_ASSERT(server.has_value(), "a free port must be found");
  server_ = std::move(server.value());
  server_->Start();
  leader_ = std::thread([this] { Lead(); });
}

LocalInstance::~LocalInstance() {
  stopping_ = true;
  leader_.join();
  server_->Stop();
}

std::string LocalInstance::address() const {
  return absl::StrCat("127.0.0.1:", server_->port());
}

void LocalInstance::MakeAccess() {
  access_.read =
      [this](const std::function<void(const ClusterState&)>& reader) {
        absl::MutexLock lock(&mutex_);
        reader(state_);
      };
  access_.state_age = [this]() -> std::optional<Milliseconds> {
    return fresh_ ? Milliseconds(10) : Milliseconds(60'000);
  };
  access_.wait_for_revision = [this](int64_t after, Milliseconds timeout) {
    absl::MutexLock lock(&mutex_);
    const auto newer = [this, after]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return state_.revision() > after;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&newer), absl::FromChrono(timeout));
    return state_.revision();
  };
}

void LocalInstance::Lead() {
  while (!stopping_) {
    {
      absl::MutexLock lock(&mutex_);
      const MonotonicTime now = std::chrono::steady_clock::now();
      for (const Command& command : controller_.Step(state_, now)) {
        state_.Apply(command);
      }
    }
    std::this_thread::sleep_for(kControllerStep);
  }
}

void LocalInstance::Apply(CommandBody body) {
  absl::MutexLock lock(&mutex_);
  const CommandOutcome outcome =
      state_.Apply({UnixMilliseconds(), std::move(body)});
  BRAMLEYRAIL_ASSERT(!outcome.refusal, outcome.refusal->ToString());
}

bool LocalInstance::WaitFor(
    const std::function<bool(const ClusterState&)>& condition) {
  absl::MutexLock lock(&mutex_);
  const auto holds = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return condition(state_);
  };
  return mutex_.AwaitWithTimeout(absl::Condition(&holds), kPatience);
}

}  // namespace bramleyrail
