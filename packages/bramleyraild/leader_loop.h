#ifndef PACKAGES_BRAMLEYRAILD_LEADER_LOOP_H_
#define PACKAGES_BRAMLEYRAILD_LEADER_LOOP_H_

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/placement/placement.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Runs the controller while this instance leads: one step every 50 ms, whose
// commands are proposed to the replicated log.
class LeaderLoop {
 public:
  struct Options {
    StateAccess state;
    std::function<bool()> is_leader;
    Controller::Options controller;
    MonotonicClock clock = SystemMonotonicClock();
  };

  static std::unique_ptr<LeaderLoop> Create(Options options);
  ~LeaderLoop();
  LeaderLoop(const LeaderLoop&) = delete;
  LeaderLoop& operator=(const LeaderLoop&) = delete;

  void Start();
  void Stop();

  // Hands reports to the controller; false when this instance does not lead.
  bool DeliverReports(std::vector<WorkerReport> reports);

 private:
  explicit LeaderLoop(Options options);

  void Run();
  void StepOnce();
  // Proposes to forget claims and change ids that are older than their
  // retention time.
  void ForgetOldRecords();
  void Propose(Command command);
  std::shared_ptr<Controller> CurrentController();

  const Options options_;
  MonotonicTime next_forget_{};  // Used by the thread only.
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Exists only while this instance leads, since a controller's knowledge of
  // silent workers belongs to one term.
  std::shared_ptr<Controller> controller_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_LEADER_LOOP_H_
