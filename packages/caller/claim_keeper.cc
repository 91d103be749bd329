#include "packages/caller/claim_keeper.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kRetryDelay{200};
constexpr Milliseconds kLongestRetryDelay{5'000};
// After this time the claim counts as running until the instance restarts.
constexpr Milliseconds kRetryLimit{600'000};
// A proposal without an outcome is committed soon or never.
constexpr Milliseconds kUnconfirmedRetryLimit{30'000};
constexpr size_t kMaximumWaiting = 16'384;

Command MakeCommand(CommandBody body) {
  return Command{UnixMilliseconds(), std::move(body)};
}

}  // namespace

ClaimKeeper::ClaimKeeper(Options options) : options_(std::move(options)) {}

Result<ClaimKeeper::Decision> ClaimKeeper::Acquire(const CallerRequest& request,
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
    // The claim may still be committed. Nothing is sent under it, so it is
    // recorded as not run.
    claim.state = ClaimState::kNotRun;
    claim.resolved_unix_ms = UnixMilliseconds();
    const MonotonicTime now = options_.clock();
    Propose({std::move(claim), now, now + kUnconfirmedRetryLimit, kRetryDelay});
    return MakeError(ErrorKind::kUnavailable,
                     "the claim of the request was not confirmed in time",
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
    return MakeError(ErrorKind::kInternal, "the claim command gave no claim",
                     "report this as a fault of bramleyrail");
  }
  return Decision{applied.claim_won, std::move(*applied.claim)};
}

void ClaimKeeper::Resolve(Claim claim) {
  claim.resolved_unix_ms = UnixMilliseconds();
  if (claim.answer_body.size() > kMaximumKeptAnswerBytes) {
    claim.answer_body.clear();
    claim.answer_kept = false;
  }
  const MonotonicTime now = options_.clock();
  Propose({std::move(claim), now, now + kRetryLimit, kRetryDelay});
}

void ClaimKeeper::Propose(Resolution resolution) {
  {
    absl::MutexLock lock(&pending_->mutex);
    ++pending_->in_flight;
  }
  Command command = MakeCommand(ResolveClaim{resolution.claim});
  resolution.due = options_.clock() + resolution.delay;
  resolution.delay = std::min(resolution.delay * 2, kLongestRetryDelay);
  options_.propose(std::move(command), [pending = pending_,
                                        resolution = std::move(resolution)](
                                           Result<CommandOutcome> outcome) {
    absl::MutexLock lock(&pending->mutex);
    --pending->in_flight;
    // A claim whose own commit is still on its way is not found yet.
    const bool not_found =
        outcome.has_value() && outcome.value().refusal.has_value() &&
        outcome.value().refusal->kind == ErrorKind::kNotFound;
    if (outcome.has_value() && !not_found) {
      return;
    }
    if (pending->waiting.size() < kMaximumWaiting) {
      pending->waiting.push_back(resolution);
    }
  });
}

void ClaimKeeper::RetryDue() {
  const MonotonicTime now = options_.clock();
  std::deque<Resolution> due;
  {
    absl::MutexLock lock(&pending_->mutex);
    std::deque<Resolution> later;
    for (Resolution& resolution : pending_->waiting) {
      (resolution.due <= now ? due : later).push_back(std::move(resolution));
    }
    pending_->waiting = std::move(later);
  }
  for (Resolution& resolution : due) {
    const bool give_up = now >= resolution.give_up;
    LogEvent(kClaimResolutionRetried,
             {{"request", resolution.claim.request_id},
              {"state", ClaimStateName(resolution.claim.state)},
              {"given_up", give_up}});
    if (!give_up) {
      Propose(std::move(resolution));
    }
  }
}

size_t ClaimKeeper::Unresolved() const {
  absl::MutexLock lock(&pending_->mutex);
  return pending_->waiting.size() + pending_->in_flight;
}

}  // namespace bramleyrail
