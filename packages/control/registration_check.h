#ifndef PACKAGES_CONTROL_REGISTRATION_CHECK_H_
#define PACKAGES_CONTROL_REGISTRATION_CHECK_H_

#include <set>
#include <string>

#include "packages/queue/queue.h"

namespace bramleyrail {

enum class RegistrationCheck {
  kRecorded,  // The state describes the worker so already.
  kNew,
  kUnusable,  // Of an unregistered incarnation that no job could use.
};

// Says what to do with the registration of a heartbeat. A registration takes
// the place of earlier workers at its address, so one that is unusable must not
// be recorded. Workers are used only from `failure_domains`; empty: from any.
RegistrationCheck CheckRegistration(
    const QueueState& state,
    const WorkerRegistration& registration,
    const std::set<std::string>& failure_domains);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_REGISTRATION_CHECK_H_
