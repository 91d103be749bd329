#include "packages/caller/local_request_executor.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr int kFirstServerErrorStatus = 500;

RequestState StateOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kResponded:
    case RequestOutcome::kResponseTooLarge:
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

ForwardedResponse LocalRequestExecutor::Run(const ForwardedRequest& request,
                                            std::string_view entry) {
  constexpr RequestRole kOwner = RequestRole::kOwner;
  const MonotonicTime start = std::chrono::steady_clock::now();
  std::optional<CapacityCharge> charge = options_.table->AcquireTarget(
      request.service, WorkKind::kRequest, request.request_id);
  if (!charge.has_value()) {
    ForwardedResponse response;
    response.outcome = RequestOutcome::kNoCapacity;
    response.message = "no target of the owner has free capacity";
    return response;
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
  options_.requests->StartRecord(kOwner, request.request_id, request.service,
                                 request.caller, request.idempotent);
  options_.requests->AddDecision(
      kOwner, request.request_id,
      absl::StrCat("target ", session->name(), " session ", session->session(),
                   ", ", session->slots_in_use(), " of ", session->slots(),
                   " slots in use"));
  options_.requests->SetState(kOwner, request.request_id,
                              RequestState::kRunning, session->name(), 0);

  ForwardedResponse response =
      options_.client->Send(std::move(*charge), request);

  options_.on_capacity_freed(session->FreeSlots() == 1);
  const auto latency = std::chrono::round<Milliseconds>(
      std::chrono::steady_clock::now() - start);
  RecordOutcome(session.get(), response, latency);
  options_.requests->AddDecision(
      kOwner, request.request_id,
      absl::StrCat("outcome ",
                   std::string(RequestOutcomeName(response.outcome)), " after ",
                   latency.count(), " ms ", response.message));
  options_.requests->SetState(kOwner, request.request_id,
                              StateOf(response.outcome), session->name(),
                              response.status);
  return response;
}

void LocalRequestExecutor::RecordOutcome(TargetSession* session,
                                         const ForwardedResponse& response,
                                         Milliseconds latency) {
  const bool answered = response.outcome == RequestOutcome::kResponded;
  if (answered && response.status < kFirstServerErrorStatus) {
    options_.table->RecordSuccess(session, latency);
    return;
  }
  if (session->closed()) {
    return;  // The session has ended; this does not count as a failure.
  }
  const std::optional<Milliseconds> ejection =
      options_.table->RecordFailure(session);
  if (ejection.has_value()) {
    LogEvent(kTargetEjected, {{"target", session->name()},
                              {"service", session->service()},
                              {"duration_ms", ejection->count()},
                              {"last_failure", response.message}});
  }
}

}  // namespace bramleyrail
