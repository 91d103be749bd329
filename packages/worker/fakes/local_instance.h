#ifndef PACKAGES_WORKER_FAKES_LOCAL_INSTANCE_H_
#define PACKAGES_WORKER_FAKES_LOCAL_INSTANCE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/worker/worker_server.h"

namespace bramleyrail {

// A state without replication, its controller, and a platform server on a free
// port of the loopback address.
class LocalInstance {
 public:
  explicit LocalInstance(size_t threads);
  ~LocalInstance();

  void Apply(CommandBody body) ABSL_LOCKS_EXCLUDED(mutex_);
  // Blocks until the condition holds; false after 20 s.
  bool WaitFor(const std::function<bool(const ClusterState&)>& condition)
      ABSL_LOCKS_EXCLUDED(mutex_);
  void SetFresh(bool fresh) { fresh_ = fresh; }
  // Drops this many batches of reports before it delivers again.
  void DropReports(int batches) { batches_to_drop_ = batches; }

  const StateAccess& access() const { return access_; }
  WorkerServer& server() { return *server_; }
  std::string address() const;

 private:
  void MakeAccess();
  void Lead();

  absl::Mutex mutex_;
  ClusterState state_ ABSL_GUARDED_BY(mutex_);
  Controller controller_;
  StateAccess access_;
  std::atomic<bool> fresh_ = true;
  std::atomic<int> batches_to_drop_ = 0;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<WorkerServer> server_;
  std::thread leader_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_FAKES_LOCAL_INSTANCE_H_
