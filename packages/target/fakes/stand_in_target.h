#ifndef PACKAGES_TARGET_FAKES_STAND_IN_TARGET_H_
#define PACKAGES_TARGET_FAKES_STAND_IN_TARGET_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/target/target.h"

namespace bramleyrail {

// A target for tests and the quickstart. It announces itself to one of several
// instances, renews its session, moves to another instance on request, runs
// requests and streams watch events.
class StandInTarget {
 public:
  struct InstanceAddress {
    std::string host;
    int port = 0;
  };
  struct Options {
    std::string name = "target-1";
    std::string service = "echo";
    std::string failure_domain;  // Empty: the instance's failure domain.
    std::vector<InstanceAddress> instances;
    std::string address = "127.0.0.1";
    int port = 0;
    int64_t slots = 8;
    int64_t connections = 64;
    // File to which each execution appends a line with its request id. Empty:
    // no file.
    std::string execution_file;
    Milliseconds event_interval{1'000};
  };

  explicit StandInTarget(Options options);
  ~StandInTarget();

  Result<void> Start();
  // Leaves the instance and finishes the work in progress.
  void Stop();

  int port() const { return server_.port(); }
  int64_t session() const;
  // Index of the instance that holds the session; -1 while there is none.
  int owner() const;
  std::map<std::string, int> executions() const;
  // Maximum number of concurrent requests, and of connections, so far.
  int64_t peak_requests() const;
  int64_t peak_connections() const;

 private:
  // Registers one request or watch as work in progress while the object lives.
  class WorkRegistration;

  void HandleRequest(const httplib::Request& request,
                     httplib::Response* response);
  void HandleWatch(const httplib::Request& request,
                   httplib::Response* response);
  void HandleStats(httplib::Response* response) const;
  bool StreamEvents(int64_t* next_sequence, httplib::DataSink* sink);
  void CountExecution(const std::string& request_id);

  void RunSessions();
  bool Announce(const InstanceAddress& instance);
  // Renews the session until the target has to announce itself again. Returns
  // how many positions to advance in the list of instances (0: announce to the
  // same instance).
  size_t RenewUntilLost(const InstanceAddress& instance);
  // Returns early when the target is stopped.
  void Wait(Milliseconds time);
  Json WorkInProgressJson() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);

  const Options options_;
  HttpServer server_;
  std::thread session_thread_;
  mutable absl::Mutex mutex_;
  int64_t session_ ABSL_GUARDED_BY(mutex_);
  int64_t sequence_ ABSL_GUARDED_BY(mutex_) = 0;
  int owner_ ABSL_GUARDED_BY(mutex_) = -1;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::multiset<std::string> requests_ ABSL_GUARDED_BY(mutex_);
  std::multiset<std::string> watches_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> executions_ ABSL_GUARDED_BY(mutex_);
  int64_t peak_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t peak_connections_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_FAKES_STAND_IN_TARGET_H_
