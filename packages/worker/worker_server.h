#ifndef PACKAGES_WORKER_WORKER_SERVER_H_
#define PACKAGES_WORKER_WORKER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "packages/placement/placement.h"
#include "packages/state/state.h"

namespace bramleyrail {

// The HTTP edge that workers poll; see docs/interfaces/workers.md.
class WorkerServer {
 public:
  struct Options {
    std::string listen_address = "127.0.0.1";
    int port = 0;  // 0: any free port.
    StateAccess state;
    // Brings reports to the leader: to Controller::EnqueueReport when this
    // instance leads, else encoded by EncodeWorkerReports over the channel
    // `platform`. Runs on one thread of the server, must not block for longer
    // than a second, and may drop reports: workers repeat them.
    std::function<void(std::vector<WorkerReport>)> deliver_reports;
    MonotonicClock clock = SystemMonotonicClock();
    // A waiting poll occupies a thread, so there is one for each worker that
    // polls this instance.
    size_t threads = 160;
    size_t queued_connections = 32;
  };

  // Binds the port; kUnavailable when that fails.
  static Result<std::unique_ptr<WorkerServer>> Create(Options options);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

  void Start();
  // Answers waiting polls at once and tells workers to poll elsewhere.
  void BeginDrain();
  // Finishes polls in progress and closes the port.
  void Stop();

  int port() const;

 private:
  class Implementation;

  explicit WorkerServer(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_WORKER_SERVER_H_
