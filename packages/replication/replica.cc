#include "packages/replication/replica.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace bramleyrail {

namespace {

// Bounds the lateness of timers, the shortest of which is 50 ms.
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
// Messages beyond this are dropped; the protocol resends what is needed.
constexpr size_t kMaximumInputBytes = size_t{32} * 1024 * 1024;

}  // namespace

Result<std::unique_ptr<Replica>> Replica::Create(Options options) {
  MonotonicClock clock = options.clock;
  const Milliseconds propose_timeout = options.propose_timeout;
  TRY(driver, ReplicaDriver::Create(std::move(options)));
  return std::unique_ptr<Replica>(
      new Replica(std::move(clock), propose_timeout, std::move(driver)));
}

Replica::Replica(MonotonicClock clock,
                 Milliseconds propose_timeout,
                 std::unique_ptr<ReplicaDriver> driver)
    : clock_(std::move(clock)),
      propose_timeout_(propose_timeout),
      driver_(std::move(driver)) {}

Replica::~Replica() {
  Stop();
}

void Replica::Start() {
  {
    absl::MutexLock lock(&mutex_);
    BRAMLEYRAIL_ASSERT(state_ == State::kCreated,
                       "Start() was called twice, or after Stop()");
    state_ = State::kRunning;
  }
  driver_->Start(clock_());
  Publish();
  thread_ = std::thread([this] { Run(); });
}

void Replica::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    state_ = State::kStopped;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  ReplicaDriver::Input input;
  {
    absl::MutexLock lock(&mutex_);
    input = std::exchange(input_, {});
    lease_end_ = std::nullopt;
  }
  for (const Proposal& proposal : input.proposals) {
    proposal.callback(MakeError(ErrorKind::kUnavailable,
                                "the instance is stopping",
                                "send the change to another instance"));
  }
  driver_->Stop();
}

void Replica::ReceiveMessage(std::string_view peer,
                             std::span<const std::byte> bytes) {
  absl::MutexLock lock(&mutex_);
  if (state_ != State::kRunning ||
      input_bytes_ + bytes.size() > kMaximumInputBytes) {
    return;
  }
  input_bytes_ += bytes.size();
  input_.messages.emplace_back(std::string(peer),
                               Bytes(bytes.begin(), bytes.end()));
}

void Replica::Propose(Bytes command, ProposeCallback callback) {
  const MonotonicTime deadline = clock_() + propose_timeout_;
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kRunning) {
      input_.proposals.push_back(
          {std::move(command), std::move(callback), deadline});
      return;
    }
  }
  callback(MakeError(ErrorKind::kUnavailable, "the replica is not running",
                     "send the change to another instance"));
}

std::optional<Milliseconds> Replica::StateAge() const {
  absl::MutexLock lock(&mutex_);
  if (!fresh_as_of_) {
    return std::nullopt;
  }
  // Rounded up, since the age must not be understated.
  return std::chrono::ceil<Milliseconds>(clock_() - *fresh_as_of_);
}

bool Replica::IsLeader() const {
  absl::MutexLock lock(&mutex_);
  return lease_end_ && clock_() < *lease_end_;
}

void Replica::TransferLeadership() {
  absl::MutexLock lock(&mutex_);
  input_.transfer_leadership = true;
}

ReplicaStatus Replica::Status() const {
  absl::MutexLock lock(&mutex_);
  return status_;
}

bool Replica::HasInput() const {
  return state_ == State::kStopped || !input_.messages.empty() ||
         !input_.proposals.empty() || input_.transfer_leadership;
}

void Replica::Run() {
  while (true) {
    ReplicaDriver::Input input;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.AwaitWithTimeout(absl::Condition(this, &Replica::HasInput),
                              kTickInterval);
      if (state_ == State::kStopped) {
        return;
      }
      input = std::exchange(input_, {});
      input_bytes_ = 0;
    }
    // The time is read after the input was taken; see AdvanceTime().
    driver_->Step(clock_(), std::move(input));
    Publish();
  }
}

void Replica::Publish() {
  ReplicaStatus status = driver_->Status();
  absl::MutexLock lock(&mutex_);
  status_ = std::move(status);
  lease_end_ = driver_->LeaseEnd();
  fresh_as_of_ = driver_->FreshAsOf();
}

}  // namespace bramleyrail
