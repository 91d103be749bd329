#include "packages/caller/request_dispatcher.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/claim_answer.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr RequestRole kEntry = RequestRole::kEntry;
// A request waits for capacity for at most this part of its deadline.
constexpr int kWaitDivisor = 4;
// Another request was faster; the next choice sees its use of the capacity.
constexpr Milliseconds kFullOwnerDelay{1};
// A commit takes at most about 120 ms plus one election of 2 s.
constexpr Milliseconds kLongestClaimWait{4'000};
constexpr Milliseconds kFirstBackoff{10};
constexpr Milliseconds kLongestBackoff{500};
// How often a waiting request looks whether the instance stops.
constexpr Milliseconds kAbortInterval{200};
// The owner stops at the deadline; its answer needs time to arrive.
constexpr Milliseconds kAnswerGrace{250};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

Milliseconds Until(MonotonicTime deadline) {
  return std::max(Milliseconds(0),
                  std::chrono::floor<Milliseconds>(deadline - Now()));
}

CallerAnswer Refusal(Error error, RunClaim run_claim) {
  CallerAnswer answer;
  answer.error = std::move(error);
  answer.run_claim = run_claim;
  return answer;
}

CallerAnswer LimitRefusal(std::string message) {
  return Refusal(MakeError(ErrorKind::kResourceExhausted, std::move(message),
                           "send fewer requests at the same time, or raise "
                           "the limit of the service"),
                 RunClaim::kNotRun);
}

RequestState StateOf(const CallerAnswer& answer) {
  if (!answer.error.has_value()) {
    return RequestState::kCompleted;
  }
  return answer.run_claim == RunClaim::kNotRun ? RequestState::kNotRun
                                               : RequestState::kOutcomeUnknown;
}

}  // namespace

struct RequestDispatcher::Attempts {
  MonotonicTime deadline;
  MonotonicTime wait_until;
  int count = 0;
  bool may_have_run = false;  // Of any attempt so far.
  std::vector<std::string> excluded;
};

RequestDispatcher::RequestDispatcher(Options options)
    : options_(std::move(options)), random_(options_.seed) {}

CallerAnswer RequestDispatcher::Run(const CallerRequest& request) {
  in_progress_.fetch_add(1);
  const auto finished = std::shared_ptr<void>(
      nullptr, [this](void*) { in_progress_.fetch_sub(1); });
  if (refusing_.load()) {
    return Finish(request,
                  Refusal(MakeError(ErrorKind::kUnavailable,
                                    "the instance is about to stop",
                                    "send the request to another instance"),
                          RunClaim::kNotRun));
  }
  const ServiceLimits limits = options_.catalog->Find(request.service);
  const auto service_place =
      limits_.TryEnter(request.service, limits.concurrent_requests);
  if (!service_place.has_value()) {
    return Finish(request,
                  LimitRefusal("the service has too many requests at once"));
  }
  const auto caller_place =
      limits_.TryEnter(absl::StrCat(request.service, "/", request.caller),
                       limits.concurrent_requests_for_caller);
  if (!caller_place.has_value()) {
    return Finish(request,
                  LimitRefusal("the caller has too many requests at once"));
  }
  counters_.accepted.fetch_add(1);
  return Finish(request, RunAccepted(request, limits));
}

CallerAnswer RequestDispatcher::RunAccepted(const CallerRequest& request,
                                            const ServiceLimits& limits) {
  const Milliseconds timeout = std::min(
      request.timeout.value_or(limits.default_timeout), kMaximumTimeout);
  const MonotonicTime now = Now();
  const MonotonicTime deadline = now + timeout;
  const MonotonicTime wait_until = now + timeout / kWaitDivisor;
  budget_.CountRequest(request.service, now);
  if (request.idempotent) {
    return RunClaimed(request, deadline, wait_until);
  }
  Result<ClaimKeeper::Decision> decision = options_.claims->Acquire(
      request, std::min(timeout / 2, kLongestClaimWait));
  if (!decision.has_value()) {
    if (request.id_is_new) {
      return Refusal(decision.error(), RunClaim::kNotRun);
    }
    // An earlier request of this id may have run through another instance; only
    // the replicated claims could tell.
    return Refusal(
        MakeError(ErrorKind::kOutcomeUnknown,
                  absl::StrCat("it is not known whether a request of this id "
                               "has run: ",
                               decision.error().message),
                  "send the request again with the same request id"),
        RunClaim::kMayHaveRun);
  }
  if (!decision.value().won) {
    return AnswerFromClaim(decision.value().claim);
  }
  CallerAnswer answer = RunClaimed(request, deadline, wait_until);
  ResolveClaimOf(request, std::move(decision.value().claim), answer);
  return answer;
}

void RequestDispatcher::ResolveClaimOf(const CallerRequest& request,
                                       Claim claim,
                                       const CallerAnswer& answer) {
  if (answer.error.has_value()) {
    claim.state = answer.run_claim == RunClaim::kNotRun
                      ? ClaimState::kNotRun
                      : ClaimState::kOutcomeUnknown;
  } else {
    claim.state = ClaimState::kCompleted;
    claim.answer_status = answer.status;
    claim.answer_content_type = answer.content_type;
    claim.answer_kept = answer.body.size() <= kMaximumKeptAnswerBytes;
    if (claim.answer_kept) {
      claim.answer_body = answer.body;
    }
  }
  claim.request_id = request.request_id;
  options_.claims->Resolve(std::move(claim));
}

CallerAnswer RequestDispatcher::RunClaimed(const CallerRequest& request,
                                           MonotonicTime deadline,
                                           MonotonicTime wait_until) {
  // Only requests that may be sent get a record: a resend must not replace the
  // record of the first request of its id.
  options_.requests->Begin(kEntry, request.request_id, request.service,
                           request.caller, request.idempotent);
  CallerAnswer answer = RunRecorded(request, deadline, wait_until);
  options_.requests->SetState(kEntry, request.request_id, StateOf(answer),
                              answer.target, answer.status);
  if (answer.error.has_value()) {
    options_.requests->AddDecision(kEntry, request.request_id,
                                   answer.error->ToString());
  }
  return answer;
}

CallerAnswer RequestDispatcher::RunRecorded(const CallerRequest& request,
                                            MonotonicTime deadline,
                                            MonotonicTime wait_until) {
  Attempts attempts{deadline, wait_until, 0, false, {}};
  ForwardedAnswer outcome = RunAttempts(request, &attempts);
  const std::string state_remedy =
      absl::StrCat("query GET /v1/requests/", request.request_id);
  switch (outcome.outcome) {
    case RequestOutcome::kAnswered: {
      CallerAnswer answer;
      answer.status = outcome.status;
      answer.content_type = std::move(outcome.content_type);
      answer.body = std::move(outcome.body);
      answer.target = std::move(outcome.target);
      return answer;
    }
    case RequestOutcome::kAnswerTooLarge:
      return Refusal(MakeError(ErrorKind::kDataLoss, outcome.message,
                               "make the service answer with less"),
                     RunClaim::kMayHaveRun);
    case RequestOutcome::kNotSent:
    case RequestOutcome::kNoCapacity:
      if (!attempts.may_have_run) {
        return Refusal(MakeError(ErrorKind::kUnavailable, outcome.message,
                                 "send the request again after a delay"),
                       RunClaim::kNotRun);
      }
      break;
    case RequestOutcome::kOutcomeUnknown:
      break;
  }
  CallerAnswer answer = Refusal(
      MakeError(ErrorKind::kOutcomeUnknown,
                absl::StrCat("the outcome is not known: ", outcome.message),
                state_remedy),
      RunClaim::kMayHaveRun);
  answer.target = std::move(outcome.target);
  return answer;
}

ForwardedAnswer RequestDispatcher::RunAttempts(const CallerRequest& request,
                                               Attempts* attempts) {
  while (true) {
    Result<OwnerCandidate> owner = WaitForOwner(request, attempts);
    if (!owner.has_value()) {
      ForwardedAnswer answer;
      answer.outcome = RequestOutcome::kNoCapacity;
      answer.message = owner.error().message;
      return answer;
    }
    const Milliseconds remaining = Until(attempts->deadline);
    ++attempts->count;
    LogDecision(request, owner.value(), attempts->count, remaining);
    ForwardedAnswer answer = RunOnce(request, owner.value(), remaining);
    switch (answer.outcome) {
      case RequestOutcome::kAnswered:
      case RequestOutcome::kAnswerTooLarge:
        return answer;
      case RequestOutcome::kNoCapacity:
        // Bounded: each owner counts as full until its next summary.
        options_.table->MarkOwnerFull(request.service, owner.value().instance);
        std::this_thread::sleep_for(kFullOwnerDelay);
        continue;
      case RequestOutcome::kOutcomeUnknown:
        attempts->may_have_run = true;
        break;
      case RequestOutcome::kNotSent:
        break;
    }
    if (owner.value().distance != OwnerDistance::kOwnInstance) {
      attempts->excluded.push_back(owner.value().instance);
    }
    if (!MayRetry(request, answer, attempts)) {
      return answer;
    }
  }
}

bool RequestDispatcher::MayRetry(const CallerRequest& request,
                                 const ForwardedAnswer& answer,
                                 Attempts* attempts) {
  const bool safe =
      request.idempotent || answer.outcome == RequestOutcome::kNotSent;
  if (!safe || !budget_.TryTake(request.service, Now())) {
    return false;
  }
  // Full jitter, doubling with each attempt.
  const auto limit = std::min(
      kFirstBackoff * (int64_t{1} << std::min(attempts->count - 1, 10)),
      kLongestBackoff);
  const auto backoff = Milliseconds(static_cast<int64_t>(
      static_cast<double>(limit.count()) * random_.Fraction()));
  if (Until(attempts->deadline) <= backoff) {
    return false;
  }
  counters_.retries.fetch_add(1);
  std::this_thread::sleep_for(backoff);
  return true;
}

Result<OwnerCandidate> RequestDispatcher::WaitForOwner(
    const CallerRequest& request,
    Attempts* attempts) {
  std::unique_ptr<CapacityQueue::Place> place;
  bool must_wait = options_.queue->HasWaiting(request.service);
  while (true) {
    if (must_wait && place == nullptr) {
      place = options_.queue->Enter(request.service);
      if (place == nullptr) {
        return MakeError(ErrorKind::kUnavailable,
                         "too many requests wait for this service", "");
      }
    }
    if (place != nullptr && !place->WaitForTurn(attempts->wait_until)) {
      return MakeError(ErrorKind::kUnavailable,
                       "no target has free capacity in time", "");
    }
    const std::optional<OwnerCandidate> owner = options_.table->ChooseOwner(
        request.service, WorkKind::kRequest, Until(attempts->deadline),
        attempts->excluded);
    if (owner.has_value()) {
      return *owner;
    }
    // An owner that failed once is better than none.
    attempts->excluded.clear();
    must_wait = true;
  }
}

ForwardedAnswer RequestDispatcher::RunOnce(const CallerRequest& request,
                                           const OwnerCandidate& owner,
                                           Milliseconds remaining) {
  const ForwardedRequest forwarded{request.request_id, request.service,
                                   request.caller,     request.idempotent,
                                   remaining,          request.content_type,
                                   request.body};
  options_.requests->SetState(kEntry, request.request_id,
                              RequestState::kRunning, "", 0);
  if (owner.distance == OwnerDistance::kOwnInstance) {
    return options_.runner->Run(forwarded, options_.instance);
  }
  return Forward(owner.instance, forwarded);
}

ForwardedAnswer RequestDispatcher::Forward(const std::string& peer,
                                           const ForwardedRequest& request) {
  counters_.forwarded.fetch_add(1);
  auto pending = std::make_shared<PendingResult<std::vector<std::byte>>>();
  options_.peers.call(peer, EncodeRoutingMessage(request),
                      request.remaining + kAnswerGrace,
                      [pending](Result<std::vector<std::byte>> result) {
                        pending->Set(std::move(result));
                      });
  const MonotonicTime give_up = Now() + request.remaining + 2 * kAnswerGrace;
  std::optional<Result<std::vector<std::byte>>> result;
  while (!result.has_value() && Now() < give_up && !aborted_.load()) {
    result = pending->Wait(std::min(Until(give_up), kAbortInterval));
  }
  ForwardedAnswer failure;
  failure.outcome = RequestOutcome::kOutcomeUnknown;
  if (!result.has_value()) {
    failure.message = absl::StrCat("no answer from instance ", peer);
    return failure;
  }
  if (!result->has_value()) {
    failure.message = result->error().message;
    if (result->error().kind == ErrorKind::kUnavailable) {
      failure.outcome = RequestOutcome::kNotSent;
    }
    return failure;
  }
  Result<RoutingMessage> message = DecodeRoutingMessage(result->value());
  if (!message.has_value() ||
      !std::holds_alternative<ForwardedAnswer>(message.value())) {
    failure.message = absl::StrCat("instance ", peer, " sent no valid answer");
    return failure;
  }
  return std::get<ForwardedAnswer>(std::move(message).value());
}

void RequestDispatcher::LogDecision(const CallerRequest& request,
                                    const OwnerCandidate& owner,
                                    int attempt,
                                    Milliseconds remaining) {
  options_.requests->AddDecision(
      kEntry, request.request_id,
      absl::StrCat("attempt ", attempt, ": owner ", owner.instance, " (",
                   std::string(OwnerDistanceName(owner.distance)), "), ",
                   owner.free, " free, latency ", owner.latency_ms,
                   " ms, remaining ", remaining.count(), " ms"));
  if (owner.distance == OwnerDistance::kOwnInstance) {
    return;  // The choice of the target is logged by the runner.
  }
  LogEvent(kRoutingDecision, {{"request", request.request_id},
                              {"service", request.service},
                              {"entry", options_.instance},
                              {"owner", owner.instance},
                              {"distance", OwnerDistanceName(owner.distance)},
                              {"free", owner.free},
                              {"latency_ms", owner.latency_ms},
                              {"attempt", attempt},
                              {"remaining_ms", remaining.count()}});
}

CallerAnswer RequestDispatcher::Finish(const CallerRequest& request,
                                       CallerAnswer answer) {
  const RequestState state = StateOf(answer);
  if (answer.replayed) {
    counters_.replayed.fetch_add(1);
  } else if (state == RequestState::kCompleted) {
    counters_.answered.fetch_add(1);
  } else if (state == RequestState::kNotRun) {
    counters_.not_run.fetch_add(1);
  } else {
    counters_.outcome_unknown.fetch_add(1);
  }
  if (state == RequestState::kNotRun &&
      !options_.requests->Find(kEntry, request.request_id).has_value()) {
    options_.requests->Begin(kEntry, request.request_id, request.service,
                             request.caller, request.idempotent);
    options_.requests->SetState(kEntry, request.request_id, state, "", 0);
    options_.requests->AddDecision(kEntry, request.request_id,
                                   answer.error->ToString());
  }
  if (answer.error.has_value()) {
    LogEvent(kRequestRefused,
             {{"request", request.request_id},
              {"service", request.service},
              {"caller", request.caller},
              {"kind", ErrorKindName(answer.error->kind)},
              {"not_run", answer.run_claim == RunClaim::kNotRun},
              {"reason", answer.error->message}});
  } else {
    LogEvent(kRequestFinished, {{"request", request.request_id},
                                {"service", request.service},
                                {"caller", request.caller},
                                {"status", answer.status},
                                {"target", answer.target},
                                {"replayed", answer.replayed}});
  }
  return answer;
}

}  // namespace bramleyrail
