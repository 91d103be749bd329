#include "packages/caller/owner_runner.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int kFirstServerErrorStatus = 500;

RequestState StateOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
    case RequestOutcome::kAnswerTooLarge:
      return RequestState::kCompleted;
    case RequestOutcome::kNotSent:
    case RequestOutcome::kNoCapacity:
      return RequestState::kNotRun;
    case RequestOutcome::kOutcomeUnknown:
      return RequestState::kOutcomeUnknown;
  }
  return RequestState::kOutcomeUnknown;
}

}  // namespace

ForwardedAnswer OwnerRunner::Run(const ForwardedRequest& request,
                                 std::string_view entry) {
  constexpr RequestRole kOwner = RequestRole::kOwner;
  const MonotonicTime start = std::chrono::steady_clock::now();
  std::optional<CapacityCharge> charge = options_.table->AcquireTarget(
      request.service, WorkKind::kRequest, request.request_id);
  if (!charge.has_value()) {
    ForwardedAnswer answer;
    answer.outcome = RequestOutcome::kNoCapacity;
    answer.message = "no target of the owner has free capacity";
    return answer;
  }
  const std::shared_ptr<TargetSession> session = charge->shared_session();
  LogEvent(kRoutingDecision,
           {{"request", request.request_id},
            {"service", request.service},
            {"entry", entry},
            {"target", session->name()},
            {"slots_in_use", session->slots_in_use()},
            {"slots", session->slots()},
            {"latency_ms", session->health().LatencyMilliseconds()},
            {"remaining_ms", request.remaining.count()}});
  options_.requests->Begin(kOwner, request.request_id, request.service,
                           request.caller, request.idempotent);
  options_.requests->AddDecision(
      kOwner, request.request_id,
      absl::StrCat("target ", session->name(), " session ", session->session(),
                   ", ", session->slots_in_use(), " of ", session->slots(),
                   " slots in use"));
  options_.requests->SetState(kOwner, request.request_id,
                              RequestState::kRunning, session->name(), 0);

  ForwardedAnswer answer = options_.client->Send(std::move(*charge), request);

  options_.on_capacity(session->FreeSlots() == 1);
  const auto latency = std::chrono::round<Milliseconds>(
      std::chrono::steady_clock::now() - start);
  RecordOutcome(session.get(), answer, latency);
  options_.requests->AddDecision(
      kOwner, request.request_id,
      absl::StrCat("outcome ", std::string(RequestOutcomeName(answer.outcome)),
                   " after ", latency.count(), " ms ", answer.message));
  options_.requests->SetState(kOwner, request.request_id,
                              StateOf(answer.outcome), session->name(),
                              answer.status);
  return answer;
}

void OwnerRunner::RecordOutcome(TargetSession* session,
                                const ForwardedAnswer& answer,
                                Milliseconds latency) {
  const bool answered = answer.outcome == RequestOutcome::kAnswered;
  if (answered && answer.status < kFirstServerErrorStatus) {
    options_.table->RecordSuccess(session, latency);
    return;
  }
  if (session->closed()) {
    return;  // Its session has ended; that is no failure.
  }
  const std::optional<Milliseconds> ejection =
      options_.table->RecordFailure(session);
  if (ejection.has_value()) {
    LogEvent(kTargetEjected, {{"target", session->name()},
                              {"service", session->service()},
                              {"duration_ms", ejection->count()},
                              {"last_failure", answer.message}});
  }
}

}  // namespace bramleyrail
