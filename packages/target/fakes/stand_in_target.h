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

// A target for tests and the quickstart: announces itself to one of several
// instances, renews, moves, runs requests and streams watch events.
class StandInTarget {
 public:
  struct InstanceAddress {
    std::string host;
    int port = 0;
  };
  struct Options {
    std::string name = "target-1";
    std::string service = "echo";
    std::string failure_domain;  // Empty: that of the instance.
    std::vector<InstanceAddress> instances;
    std::string address = "127.0.0.1";
    int port = 0;
    int64_t slots = 8;
    int64_t connections = 64;
    // One line with the request id for each execution; empty: none.
    std::string execution_file;
    Milliseconds event_interval{1'000};
  };

  explicit StandInTarget(Options options);
  ~StandInTarget();

  Result<void> Start();
  // Leaves the instance and finishes what runs.
  void Stop();

  int port() const { return server_.port(); }
  int64_t session() const;
  // The instance that holds the session, as index; -1 while there is none.
  int owner() const;
  std::map<std::string, int> executions() const;
  // Most requests and connections in use at the same time.
  int64_t peak_requests() const;
  int64_t peak_connections() const;

 private:
  // Keeps one request or watch in the lists of work in progress.
  class Work;

  void HandleRequest(const httplib::Request& request,
                     httplib::Response* response);
  void HandleWatch(const httplib::Request& request,
                   httplib::Response* response);
  void HandleStats(httplib::Response* response) const;
  bool StreamEvents(int64_t* next_sequence, httplib::DataSink* sink);
  void CountExecution(const std::string& request_id);

  void RunSessions();
  bool Announce(const InstanceAddress& instance);
  // Renews until the target has to announce itself again; returns the step to
  // the next instance in the list (0: the same one).
  size_t RenewUntilLost(const InstanceAddress& instance);
  void Wait(Milliseconds time);
  Json WorkJson() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);

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
