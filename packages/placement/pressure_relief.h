#ifndef PACKAGES_PLACEMENT_PRESSURE_RELIEF_H_
#define PACKAGES_PLACEMENT_PRESSURE_RELIEF_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/attempt_escalation.h"
#include "packages/placement/fleet.h"
#include "packages/placement/interference_model.h"
#include "packages/placement/owner_catalog.h"

namespace bramleyrail {

// Makes batch work give way on workers where services run slowly. Pure.
class PressureRelief {
 public:
  PressureRelief(const Fleet* fleet,
                 OwnerCatalog* owners,
                 const InterferenceModel* interference);

  // What a service task on the worker measured.
  void Observe(uint32_t worker,
               int32_t service_kind,
               int64_t slowdown_permille,
               MonotonicTime now);

  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<DesiredAttempt>* changes);

 private:
  struct Entry {
    MonotonicTime measured;
    int64_t slowdown_permille = 0;
    int32_t service_kind = 0;
    std::optional<MonotonicTime> slow_since;
    std::optional<MonotonicTime> calm_since;
    std::optional<AttemptEscalation> escalation;
  };

  void StepWorker(const ClusterState& state,
                  uint32_t worker,
                  Entry* entry,
                  MonotonicTime now,
                  std::vector<DesiredAttempt>* changes);
  // The batch attempt that is expected to disturb most.
  std::optional<AttemptEscalation> Choose(const ClusterState& state,
                                          uint32_t worker,
                                          int32_t service_kind) const;

  const Fleet* fleet_;
  OwnerCatalog* owners_;
  const InterferenceModel* interference_;
  absl::flat_hash_map<uint32_t, Entry> entries_;  // By worker.
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PRESSURE_RELIEF_H_
