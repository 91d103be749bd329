#include "packages/caller/claim_manager.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kInitialRetryDelay{200};
constexpr Milliseconds kMaximumRetryDelay{5'000};
// A claim whose outcome cannot be committed within this time stays in the state
// running until the instance restarts.
constexpr Milliseconds kResolutionRetryTime{600'000};
// A proposal of unknown outcome is committed within this time or never.
constexpr Milliseconds kUnconfirmedClaimRetryTime{30'000};
constexpr size_t kMaximumWaitingResolutions = 16'384;

Command MakeCommand(CommandBody body) {
  return Command{UnixMilliseconds(), std::move(body)};
}

}  // namespace

ClaimManager::ClaimManager(Options options) : options_(std::move(options)) {}

Result<ClaimManager::Acquisition> ClaimManager::Acquire(
    const CallerRequest& request,
    Milliseconds timeout) {
  Claim claim;
  claim.request_id = request.request_id;
  claim.service = request.service;
  claim.caller = request.caller;
  claim.instance = options_.instance;
  claim.instance_boot_id = options_.boot_id;
  claim.claimed_unix_ms = UnixMilliseconds();

  auto pending = std::make_shared<PendingResult<CommandOutcome>>();
  options_.propose(MakeCommand(ClaimRequest{claim}),
                   [pending](Result<CommandOutcome> outcome) {
                     pending->Set(std::move(outcome));
                   });
  std::optional<Result<CommandOutcome>> outcome = pending->Wait(timeout);
  const bool unknown = !outcome.has_value() ||
                       (!outcome->has_value() &&
                        outcome->error().kind != ErrorKind::kUnavailable);
  if (unknown) {
    // The claim may still be committed. The request is not sent, so the claim
    // is recorded as not run.
    claim.state = ClaimState::kNotRun;
    claim.resolved_unix_ms = UnixMilliseconds();
    const MonotonicTime now = options_.clock();
    Propose({std::move(claim), now, now + kUnconfirmedClaimRetryTime,
             kInitialRetryDelay});
    return MakeError(ErrorKind::kUnavailable,
                     "the claim of the request was not committed in time",
                     "send the request again with the same request id");
  }
  if (!outcome->has_value()) {
    return outcome->error();
  }
  CommandOutcome& applied = outcome->value();
  if (applied.refusal.has_value()) {
    return *applied.refusal;
  }
  if (!applied.claim.has_value()) {
    return MakeError(ErrorKind::kInternal,
                     "the applied claim command returned no claim",
                     "report this as a defect of bramleyrail");
  }
  return Acquisition{applied.claim_created, std::move(*applied.claim)};
}

void ClaimManager::Resolve(Claim claim) {
  claim.resolved_unix_ms = UnixMilliseconds();
  if (claim.response_body.size() > kMaximumStoredResponseBytes) {
    claim.response_body.clear();
    claim.response_stored = false;
  }
  const MonotonicTime now = options_.clock();
  Propose(
      {std::move(claim), now, now + kResolutionRetryTime, kInitialRetryDelay});
}

void ClaimManager::Propose(Resolution resolution) {
  {
    absl::MutexLock lock(&pending_->mutex);
    ++pending_->in_flight;
  }
  Command command = MakeCommand(ResolveClaim{resolution.claim});
  resolution.next_attempt = options_.clock() + resolution.delay;
  resolution.delay = std::min(resolution.delay * 2, kMaximumRetryDelay);
  options_.propose(std::move(command), [pending = pending_,
                                        resolution = std::move(resolution)](
                                           Result<CommandOutcome> outcome) {
    absl::MutexLock lock(&pending->mutex);
    --pending->in_flight;
    // The claim itself may not be committed yet; it is then not found.
    const bool not_found =
        outcome.has_value() && outcome.value().refusal.has_value() &&
        outcome.value().refusal->kind == ErrorKind::kNotFound;
    if (outcome.has_value() && !not_found) {
      return;
    }
    if (pending->waiting.size() < kMaximumWaitingResolutions) {
      pending->waiting.push_back(resolution);
    }
  });
}

void ClaimManager::RetryDueResolutions() {
  const MonotonicTime now = options_.clock();
  std::deque<Resolution> due;
  {
    absl::MutexLock lock(&pending_->mutex);
    std::deque<Resolution> later;
    for (Resolution& resolution : pending_->waiting) {
      (resolution.next_attempt <= now ? due : later)
          .push_back(std::move(resolution));
    }
    pending_->waiting = std::move(later);
  }
  for (Resolution& resolution : due) {
    const bool abandoned = now >= resolution.retry_until;
    LogEvent(kClaimResolutionRetried,
             {{"request", resolution.claim.request_id},
              {"state", ClaimStateName(resolution.claim.state)},
              {"given_up", abandoned}});
    if (!abandoned) {
      Propose(std::move(resolution));
    }
  }
}

size_t ClaimManager::UnresolvedCount() const {
  absl::MutexLock lock(&pending_->mutex);
  return pending_->waiting.size() + pending_->in_flight;
}

}  // namespace bramleyrail
