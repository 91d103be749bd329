#ifndef PACKAGES_BRAMLEYRAILD_INSTANCE_H_
#define PACKAGES_BRAMLEYRAILD_INSTANCE_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "packages/base/base.h"
#include "packages/bramleyraild/health_server.h"
#include "packages/bramleyraild/leader_loop.h"
#include "packages/bramleyraild/live_target_reporter.h"
#include "packages/bramleyraild/replicated_state.h"
#include "packages/bramleyraild/settings.h"
#include "packages/bramleyraild/status_reporter.h"
#include "packages/caller/caller.h"
#include "packages/operator/operator.h"
#include "packages/peer/peer.h"
#include "packages/worker/worker.h"

namespace bramleyrail {

// An entry instance: all parts of the process, bound to each other.
class Instance {
 public:
  // Binds all ports and opens the data folder; nothing is served yet.
  static Result<std::unique_ptr<Instance>> Create(Settings settings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Starts to serve. Readiness follows once the replicated state is fresh.
  Result<void> Start();

  // The planned stop: withdraws readiness, hands over leadership, targets and
  // workers, and finishes requests in progress within the stop deadline. False
  // when some were left at the deadline.
  bool Stop();

  // Empty when the balancer may send requests.
  std::string ReasonNotReady() const;

 private:
  explicit Instance(Settings settings);

  Result<void> CreateParts();
  Result<void> CreateReplicatedState();
  Result<void> CreateRequestService();
  Result<void> CreateEdges();
  void BindPeerChannels();
  void AnswerSurvey(std::span<const std::byte> payload,
                    const PeerAnswer& answer) const;
  void DeliverWorkerReports(std::vector<WorkerReport> reports);
  // Waits for the first fresh state, then resolves the claims of earlier runs.
  void RunStartup();
  void ResolveLostClaimsOfEarlierRuns();
  std::vector<MetricSample> CollectMetrics() const;

  const Settings settings_;
  const std::string boot_id_;
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};

  // In the order of construction; destroyed in reverse.
  std::unique_ptr<PeerNetwork> network_;
  std::unique_ptr<ReplicatedState> state_;
  std::unique_ptr<LeaderLoop> leader_loop_;
  std::unique_ptr<RequestService> request_service_;
  std::unique_ptr<WorkerServer> worker_server_;
  std::unique_ptr<StatusReporter> status_reporter_;
  std::unique_ptr<LiveTargetReporter> live_target_reporter_;
  std::unique_ptr<OperatorServer> operator_server_;
  std::unique_ptr<HealthServer> health_server_;
  std::thread startup_thread_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_INSTANCE_H_
