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

// Throttles, and if necessary evicts, batch work on workers where services run
// slowly. Does no I/O.
class PressureRelief {
 public:
  PressureRelief(const Fleet* fleet,
                 OwnerCatalog* owners,
                 const InterferenceModel* interference);

  // Records the slowdown that a service task on the worker measured.
  void Observe(uint32_t worker,
               int32_t service_kind,
               int64_t slowdown_permille,
               MonotonicTime now);

  void Step(const ClusterState& state,
            MonotonicTime now,
            std::vector<DesiredStateChange>* changes);

 private:
  struct WorkerPressure {
    MonotonicTime measured;
    int64_t slowdown_permille = 0;
    int32_t service_kind = 0;
    std::optional<MonotonicTime> slow_since;
    std::optional<MonotonicTime> stable_since;
    std::optional<AttemptEscalation> escalation;
  };

  void StepWorker(const ClusterState& state,
                  uint32_t worker,
                  WorkerPressure* pressure,
                  MonotonicTime now,
                  std::vector<DesiredStateChange>* changes);
  // Returns the batch attempt with the largest expected interference.
  std::optional<AttemptEscalation> ChooseInterferingAttempt(
      const ClusterState& state,
      uint32_t worker,
      int32_t service_kind) const;

  const Fleet* fleet_;
  OwnerCatalog* owners_;
  const InterferenceModel* interference_;
  absl::flat_hash_map<uint32_t, WorkerPressure> pressures_;  // By worker.
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_PRESSURE_RELIEF_H_
