#include "packages/dispatch/worker_order.h"

namespace bramleyrail {

std::string_view OrderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kRunTooOld:
      return "run_too_old";
    case OrderOutcome::kLeaseTooOld:
      return "lease_too_old";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kNoTicket:
      return "no_ticket";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kWrongWorker:
      return "wrong_worker";
    case OrderOutcome::kRestarted:
      return "restarted";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kConnectionRefused:
      return "nobody_listens";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace bramleyrail
