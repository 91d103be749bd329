#ifndef PACKAGES_DISPATCH_ADMISSION_DECISION_H_
#define PACKAGES_DISPATCH_ADMISSION_DECISION_H_

#include <functional>

#include "packages/base/base.h"

namespace bramleyrail {

// Returns values from 0 to 1.
using UniformRandom = std::function<double()>;

UniformRandom MakeUniformRandom();

struct AdmissionDecision {
  bool admitted = true;
  // When room is likely, spread over the callers that are rejected. Only for a
  // rejected job.
  Milliseconds retry_after{0};
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_ADMISSION_DECISION_H_
