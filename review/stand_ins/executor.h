#ifndef REVIEW_STAND_INS_EXECUTOR_H_
#define REVIEW_STAND_INS_EXECUTOR_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// What the executors of a case share.
struct ExecutorOptions {
  std::string service;
  Milliseconds heartbeat{1'500};
  Milliseconds longest_lease{6'000};  // hold_max_ms
  Milliseconds stop_time{50};         // At most stop_ms.
  Milliseconds drain_time{3'000};     // drain_ms
  int64_t cpu = 16'000;
  int64_t memory_mb = 64'000;

  // Addresses of the machines that serve control.
  void SetControl(std::vector<std::string> addresses);
  std::vector<std::string> Control() const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> control_;
};

// A run that an executor has begun, as all executors of a case have seen it.
struct RunOfTask {
  std::string executor;
  std::string zone;
  std::string task;
  int64_t run = 0;
  std::string job;
  double started = 0;  // Seconds of the record.
  double ended = -1;   // Negative: not ended.
  std::string how;     // As listed, or "gone" with its executor.
};

// All runs of a case.
class RunLog {
 public:
  size_t Add(RunOfTask run);
  void End(size_t number, double time, const std::string& how);
  std::vector<RunOfTask> Runs() const;

 private:
  mutable std::mutex mutex_;
  std::vector<RunOfTask> runs_;
};

// A stand-in for an executor, as PROTOCOL.md describes one with `orders` =
// `call` and an admission check. The `spec` of a job tells it what a task
// needs: a JSON object with `work_ms`, `cpu`, `mem_mb`.
class Executor {
 public:
  Executor(std::string id,
           std::string zone,
           std::string ip,
           int port,
           const ExecutorOptions* options,
           RunLog* runs,
           Record* record,
           std::string kind = "a");
  ~Executor();

  void Start();
  // Ends without a word, with all that runs. Its machine refuses connections.
  void Crash();
  // The same, but its machine is without power and answers nothing.
  void LosePower();
  // Reports itself as draining, continues for drain_time after the
  // acknowledgement and for `longer`, sends DELETE, and ends. Without an
  // acknowledgement of that, it asks the next machine, with increasing pauses,
  // and ends `unacknowledged` after the first DELETE.
  void Leave(Milliseconds longer, Milliseconds unacknowledged);

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  bool up() const { return up_; }
  // Number of runs at work now.
  size_t CountRunning() const;
  bool IsRunning(const std::string& job) const;
  // Replaces the way to a machine that serves control: address to address.
  std::function<std::string(const std::string&)> route;

 private:
  struct Running {
    int64_t run = 0;
    int64_t cpu = 0;
    int64_t memory_mb = 0;
    bool long_running = false;
    Clock::time_point started;
    Clock::time_point finish;  // Of its work.
    Clock::time_point stop;    // When a stop takes effect.
    bool stopping = false;
    int64_t progress_percent = 0;
    int64_t pace_percent = 100;
    size_t log_number = 0;
  };
  struct Ended {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  int64_t ClockMs() const;
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse StartRun(const std::string& body);
  HttpResponse StopRun(const std::string& body);
  HttpResponse Hold(const std::string& body);
  HttpResponse Pace(const std::string& body);
  HttpResponse Refuse(const std::string& reason) const;
  void TakeLease(int64_t until_ms);
  void EndRun(const std::string& task, const std::string& how);
  void Work();
  void SendHeartbeats();
  // Sends to the next machine until one answers with 2xx; false if none did.
  bool SendHeartbeat();
  std::string HeartbeatBody();
  HttpResponse CallControl(const std::string& method, const std::string& body);
  void EndRuns(const std::string& how);
  void End(const std::string& how);

  const std::string id_;
  const std::string zone_;
  const std::string ip_;
  const int port_;
  const ExecutorOptions* const options_;
  RunLog* const runs_;
  Record* const record_;
  const std::string kind_;
  const int64_t born_ms_;
  const Clock::time_point started_;
  std::unique_ptr<HttpServer> server_;
  std::thread worker_;
  std::thread heart_;
  std::thread leaver_;
  std::atomic<bool> up_ = false;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int64_t fence_ = 0;
  int64_t lease_until_ms_ = 0;
  std::map<std::string, Running> running_;
  std::map<std::string, int64_t> highest_ended_;
  std::vector<Ended> ended_;
  int64_t last_number_ = 0;
  bool draining_ = false;
  int64_t sequence_ = 0;
  size_t next_control_ = 0;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_EXECUTOR_H_
