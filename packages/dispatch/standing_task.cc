#include "packages/dispatch/standing_task.h"

namespace bramleyrail {

std::string_view StandingReasonName(StandingReason reason) {
  switch (reason) {
    case StandingReason::kTakeover:
      return "takeover";
    case StandingReason::kRecord:
      return "placement_record";
    case StandingReason::kStartUnconfirmed:
      return "start_unconfirmed";
    case StandingReason::kStopUnconfirmed:
      return "stop_unconfirmed";
    case StandingReason::kSilentWorker:
      return "silent_worker";
    case StandingReason::kUnreadableLists:
      return "unreadable_lists";
    case StandingReason::kDelay:
      return "delay";
    case StandingReason::kGang:
      return "gang";
    case StandingReason::kCrashRecord:
      return "crash_record";
    case StandingReason::kOtherTask:
      return "other_task";
    case StandingReason::kAccountLimit:
      return "account_limit";
    case StandingReason::kRoom:
      return "room";
  }
  return "unknown";
}

}  // namespace bramleyrail
