#include "packages/caller/request_dispatcher.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/claim_response.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr RequestRole kEntry = RequestRole::kEntry;
// A request waits for capacity for at most its timeout divided by this number.
constexpr int kCapacityWaitDivisor = 4;
// Delay before another owner is chosen after one turned out to be full because
// another request took its capacity first.
constexpr Milliseconds kFullOwnerRetryDelay{1};
// A commit takes at most about 120 ms, plus up to 2 s for an election.
constexpr Milliseconds kMaximumClaimWait{4'000};
constexpr Milliseconds kInitialBackoff{10};
constexpr Milliseconds kMaximumBackoff{500};
// Interval at which a forwarded request checks whether Abort() was called.
constexpr Milliseconds kAbortPollInterval{200};
// The owner stops waiting at the deadline; this is the additional time for its
// response to arrive.
constexpr Milliseconds kResponseGracePeriod{250};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

Milliseconds Until(MonotonicTime deadline) {
  return std::max(Milliseconds(0),
                  std::chrono::floor<Milliseconds>(deadline - Now()));
}

CallerResponse ErrorResponse(Error error, RequestExecution execution) {
  CallerResponse response;
  response.error = std::move(error);
  response.execution = execution;
  return response;
}

CallerResponse LimitExceeded(std::string message) {
  return ErrorResponse(
      MakeError(ErrorKind::kResourceExhausted, std::move(message),
                "send fewer requests at the same time, or raise "
                "the limit in the service's declaration"),
      RequestExecution::kNotRun);
}

RequestState StateOf(const CallerResponse& response) {
  if (!response.error.has_value()) {
    return RequestState::kCompleted;
  }
  return response.execution == RequestExecution::kNotRun
             ? RequestState::kNotRun
             : RequestState::kOutcomeUnknown;
}

}  // namespace

struct RequestDispatcher::AttemptState {
  MonotonicTime deadline;
  MonotonicTime capacity_deadline;
  int count = 0;
  bool may_have_run = false;          // True if any attempt may have run.
  std::vector<std::string> excluded;  // Owners whose last attempt failed.
};

RequestDispatcher::RequestDispatcher(Options options)
    : options_(std::move(options)), random_(options_.seed) {}

CallerResponse RequestDispatcher::Run(const CallerRequest& request) {
  in_progress_.fetch_add(1);
  const auto finished = std::shared_ptr<void>(
      nullptr, [this](void*) { in_progress_.fetch_sub(1); });
  if (refusing_new_.load()) {
    return Finish(
        request,
        ErrorResponse(
            MakeError(ErrorKind::kUnavailable, "the instance is about to stop",
                      "send the request to another instance"),
            RequestExecution::kNotRun));
  }
  const ServiceLimits limits = options_.catalog->Find(request.service);
  const auto service_permit =
      limits_.TryAcquirePermit(request.service, limits.concurrent_requests);
  if (!service_permit.has_value()) {
    return Finish(
        request,
        LimitExceeded(
            "the service has reached its limit of concurrent requests"));
  }
  const auto caller_permit = limits_.TryAcquirePermit(
      absl::StrCat(request.service, "/", request.caller),
      limits.concurrent_requests_for_caller);
  if (!caller_permit.has_value()) {
    return Finish(
        request, LimitExceeded(
                     "the caller has reached the service's limit of concurrent "
                     "requests for each caller"));
  }
  counters_.accepted.fetch_add(1);
  return Finish(request, AcquireClaimAndRun(request, limits));
}

CallerResponse RequestDispatcher::AcquireClaimAndRun(
    const CallerRequest& request,
    const ServiceLimits& limits) {
  const Milliseconds timeout = std::min(
      request.timeout.value_or(limits.default_timeout), kMaximumTimeout);
  const MonotonicTime now = Now();
  const MonotonicTime deadline = now + timeout;
  const MonotonicTime capacity_deadline = now + timeout / kCapacityWaitDivisor;
  budget_.CountRequest(request.service, now);
  if (request.idempotent) {
    return RunAndRecord(request, deadline, capacity_deadline);
  }
  Result<ClaimManager::Acquisition> acquisition = options_.claims->Acquire(
      request, std::min(timeout / 2, kMaximumClaimWait));
  if (!acquisition.has_value()) {
    if (request.id_is_new) {
      return ErrorResponse(acquisition.error(), RequestExecution::kNotRun);
    }
    // An earlier request with this id may have run through another instance.
    // Only the replicated claims, which are not available now, could show that.
    return ErrorResponse(
        MakeError(ErrorKind::kOutcomeUnknown,
                  absl::StrCat("it is not known whether a request with this id "
                               "has run: ",
                               acquisition.error().message),
                  "send the request again with the same request id"),
        RequestExecution::kMayHaveRun);
  }
  if (!acquisition.value().acquired) {
    return ResponseFromClaim(acquisition.value().claim);
  }
  CallerResponse response = RunAndRecord(request, deadline, capacity_deadline);
  ResolveClaimOf(request, std::move(acquisition.value().claim), response);
  return response;
}

void RequestDispatcher::ResolveClaimOf(const CallerRequest& request,
                                       Claim claim,
                                       const CallerResponse& response) {
  if (response.error.has_value()) {
    claim.state = response.execution == RequestExecution::kNotRun
                      ? ClaimState::kNotRun
                      : ClaimState::kOutcomeUnknown;
  } else {
    claim.state = ClaimState::kCompleted;
    claim.response_status = response.status;
    claim.response_content_type = response.content_type;
    claim.response_stored = response.body.size() <= kMaximumStoredResponseBytes;
    if (claim.response_stored) {
      claim.response_body = response.body;
    }
  }
  claim.request_id = request.request_id;
  options_.claims->Resolve(std::move(claim));
}

CallerResponse RequestDispatcher::RunAndRecord(
    const CallerRequest& request,
    MonotonicTime deadline,
    MonotonicTime capacity_deadline) {
  // Only a request that may be sent gets a record here: a repeated request must
  // not replace the record of the first request with its id.
  options_.requests->StartRecord(kEntry, request.request_id, request.service,
                                 request.caller, request.idempotent);
  CallerResponse response =
      RunAndConvertOutcome(request, deadline, capacity_deadline);
  options_.requests->SetState(kEntry, request.request_id, StateOf(response),
                              response.target, response.status);
  if (response.error.has_value()) {
    options_.requests->AddDecision(kEntry, request.request_id,
                                   response.error->ToString());
  }
  return response;
}

CallerResponse RequestDispatcher::RunAndConvertOutcome(
    const CallerRequest& request,
    MonotonicTime deadline,
    MonotonicTime capacity_deadline) {
  AttemptState attempts{deadline, capacity_deadline, 0, false, {}};
  ForwardedResponse outcome = RunWithRetries(request, &attempts);
  const std::string state_remedy =
      absl::StrCat("query GET /v1/requests/", request.request_id);
  switch (outcome.outcome) {
    case RequestOutcome::kResponded: {
      CallerResponse response;
      response.status = outcome.status;
      response.content_type = std::move(outcome.content_type);
      response.body = std::move(outcome.body);
      response.target = std::move(outcome.target);
      return response;
    }
    case RequestOutcome::kResponseTooLarge:
      return ErrorResponse(
          MakeError(ErrorKind::kDataLoss, outcome.message,
                    "reduce the size of the response of the service"),
          RequestExecution::kMayHaveRun);
    case RequestOutcome::kNotSent:
    case RequestOutcome::kNoCapacity:
      if (!attempts.may_have_run) {
        return ErrorResponse(MakeError(ErrorKind::kUnavailable, outcome.message,
                                       "send the request again after a delay"),
                             RequestExecution::kNotRun);
      }
      break;
    case RequestOutcome::kOutcomeUnknown:
      break;
  }
  CallerResponse response = ErrorResponse(
      MakeError(ErrorKind::kOutcomeUnknown,
                absl::StrCat("the outcome of the request is not known: ",
                             outcome.message),
                state_remedy),
      RequestExecution::kMayHaveRun);
  response.target = std::move(outcome.target);
  return response;
}

ForwardedResponse RequestDispatcher::RunWithRetries(
    const CallerRequest& request,
    AttemptState* attempts) {
  while (true) {
    Result<OwnerCandidate> owner = WaitForOwner(request, attempts);
    if (!owner.has_value()) {
      ForwardedResponse response;
      response.outcome = RequestOutcome::kNoCapacity;
      response.message = owner.error().message;
      return response;
    }
    const Milliseconds remaining = Until(attempts->deadline);
    ++attempts->count;
    LogDecision(request, owner.value(), attempts->count, remaining);
    ForwardedResponse response = RunAttempt(request, owner.value(), remaining);
    switch (response.outcome) {
      case RequestOutcome::kResponded:
      case RequestOutcome::kResponseTooLarge:
        return response;
      case RequestOutcome::kNoCapacity:
        // The number of repetitions is bounded, since each owner counts as full
        // until its next summary.
        options_.table->MarkOwnerFull(request.service, owner.value().instance);
        std::this_thread::sleep_for(kFullOwnerRetryDelay);
        continue;
      case RequestOutcome::kOutcomeUnknown:
        attempts->may_have_run = true;
        break;
      case RequestOutcome::kNotSent:
        break;
    }
    if (owner.value().distance != OwnerDistance::kLocalInstance) {
      attempts->excluded.push_back(owner.value().instance);
    }
    if (!PrepareRetry(request, response, attempts)) {
      return response;
    }
  }
}

bool RequestDispatcher::PrepareRetry(const CallerRequest& request,
                                     const ForwardedResponse& response,
                                     AttemptState* attempts) {
  const bool safe =
      request.idempotent || response.outcome == RequestOutcome::kNotSent;
  if (!safe || !budget_.TryConsumeRetry(request.service, Now())) {
    return false;
  }
  // The delay is a random part of a limit that doubles with each attempt.
  const auto limit = std::min(
      kInitialBackoff * (int64_t{1} << std::min(attempts->count - 1, 10)),
      kMaximumBackoff);
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
    AttemptState* attempts) {
  std::unique_ptr<CapacityQueue::Waiter> waiter;
  bool must_wait = options_.queue->HasWaiting(request.service);
  while (true) {
    if (must_wait && waiter == nullptr) {
      waiter = options_.queue->Enter(request.service);
      if (waiter == nullptr) {
        return MakeError(
            ErrorKind::kUnavailable,
            "too many requests already wait for capacity of this service", "");
      }
    }
    if (waiter != nullptr &&
        !waiter->WaitForTurn(attempts->capacity_deadline)) {
      return MakeError(ErrorKind::kUnavailable,
                       "no target had free capacity within the time limit", "");
    }
    const std::optional<OwnerCandidate> owner = options_.table->ChooseOwner(
        request.service, WorkKind::kRequest, Until(attempts->deadline),
        attempts->excluded);
    if (owner.has_value()) {
      return *owner;
    }
    // No owner is left, so owners whose earlier attempt failed may be chosen
    // again.
    attempts->excluded.clear();
    must_wait = true;
  }
}

ForwardedResponse RequestDispatcher::RunAttempt(const CallerRequest& request,
                                                const OwnerCandidate& owner,
                                                Milliseconds remaining) {
  const ForwardedRequest forwarded{request.request_id, request.service,
                                   request.caller,     request.idempotent,
                                   remaining,          request.content_type,
                                   request.body};
  options_.requests->SetState(kEntry, request.request_id,
                              RequestState::kRunning, "", 0);
  if (owner.distance == OwnerDistance::kLocalInstance) {
    return options_.local_executor->Run(forwarded, options_.instance);
  }
  return Forward(owner.instance, forwarded);
}

ForwardedResponse RequestDispatcher::Forward(const std::string& peer,
                                             const ForwardedRequest& request) {
  counters_.forwarded.fetch_add(1);
  auto pending = std::make_shared<PendingResult<std::vector<std::byte>>>();
  options_.peers.call(peer, EncodeRoutingMessage(request),
                      request.remaining + kResponseGracePeriod,
                      [pending](Result<std::vector<std::byte>> result) {
                        pending->Set(std::move(result));
                      });
  const MonotonicTime wait_deadline =
      Now() + request.remaining + 2 * kResponseGracePeriod;
  std::optional<Result<std::vector<std::byte>>> result;
  while (!result.has_value() && Now() < wait_deadline && !aborted_.load()) {
    result = pending->Wait(std::min(Until(wait_deadline), kAbortPollInterval));
  }
  ForwardedResponse failure;
  failure.outcome = RequestOutcome::kOutcomeUnknown;
  if (!result.has_value()) {
    failure.message = absl::StrCat("no response arrived from instance ", peer);
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
      !std::holds_alternative<ForwardedResponse>(message.value())) {
    failure.message =
        absl::StrCat("instance ", peer, " sent an invalid response");
    return failure;
  }
  return std::get<ForwardedResponse>(std::move(message).value());
}

void RequestDispatcher::LogDecision(const CallerRequest& request,
                                    const OwnerCandidate& owner,
                                    int attempt,
                                    Milliseconds remaining) {
  options_.requests->AddDecision(
      kEntry, request.request_id,
      absl::StrCat("attempt ", attempt, ": owner ", owner.instance, " (",
                   std::string(OwnerDistanceName(owner.distance)), "), ",
                   owner.free_capacity, " free, latency ", owner.latency_ms,
                   " ms, remaining ", remaining.count(), " ms"));
  if (owner.distance == OwnerDistance::kLocalInstance) {
    return;  // LocalRequestExecutor logs the choice of the target.
  }
  LogEvent(kRoutingDecision, {{"request", request.request_id},
                              {"service", request.service},
                              {"entry", options_.instance},
                              {"owner", owner.instance},
                              {"distance", OwnerDistanceName(owner.distance)},
                              {"free", owner.free_capacity},
                              {"latency_ms", owner.latency_ms},
                              {"attempt", attempt},
                              {"remaining_ms", remaining.count()}});
}

CallerResponse RequestDispatcher::Finish(const CallerRequest& request,
                                         CallerResponse response) {
  const RequestState state = StateOf(response);
  if (response.replayed) {
    counters_.replayed.fetch_add(1);
  } else if (state == RequestState::kCompleted) {
    counters_.completed.fetch_add(1);
  } else if (state == RequestState::kNotRun) {
    counters_.not_run.fetch_add(1);
  } else {
    counters_.outcome_unknown.fetch_add(1);
  }
  if (state == RequestState::kNotRun &&
      !options_.requests->Find(kEntry, request.request_id).has_value()) {
    options_.requests->StartRecord(kEntry, request.request_id, request.service,
                                   request.caller, request.idempotent);
    options_.requests->SetState(kEntry, request.request_id, state, "", 0);
    options_.requests->AddDecision(kEntry, request.request_id,
                                   response.error->ToString());
  }
  if (response.error.has_value()) {
    LogEvent(kRequestRefused,
             {{"request", request.request_id},
              {"service", request.service},
              {"caller", request.caller},
              {"kind", ErrorKindName(response.error->kind)},
              {"not_run", response.execution == RequestExecution::kNotRun},
              {"reason", response.error->message}});
  } else {
    LogEvent(kRequestFinished, {{"request", request.request_id},
                                {"service", request.service},
                                {"caller", request.caller},
                                {"status", response.status},
                                {"target", response.target},
                                {"replayed", response.replayed}});
  }
  return response;
}

}  // namespace bramleyrail
