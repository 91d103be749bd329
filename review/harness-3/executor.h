// An executor as the pages describe it: it takes starts, stops, holds and paces
// over HTTP, and sends heartbeats to the nodes that serve control.
#ifndef REVIEW_HARNESS_3_EXECUTOR_H_
#define REVIEW_HARNESS_3_EXECUTOR_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

// The addresses that the stand-ins call and what the executors say of
// themselves.
struct ExecutorSettings {
  std::string ip;
  int port = 8080;
  std::string zone;
  std::string service;
  std::string rack = "r1-1";
  int64_t cpu = 16'000;
  int64_t mem_mb = 64'000;
  std::vector<std::string> control_ips;
  int control_port = 0;
  int heartbeat_ms = 1'500;
  int64_t longest_hold_ms = 6'000;
  std::string kind = "a";  // The first label.
  // Ends each connection after its response, and stands behind a network that
  // takes connections while the process is down.
  bool closes_connections = false;
};

// What has run, for the rule TWICE. The mutex of the executor guards it.
struct History {
  struct Start {
    std::string task;
    uint64_t run = 0;
    double at_s = 0;
  };
  struct Done {
    std::string task;
    uint64_t run = 0;
    int64_t number = 0;
    double at_s = 0;
    bool noted = false;
    bool excused = false;  // The lease lapsed, or the process ended, before.
  };
  std::vector<Start> starts;
  std::vector<Done> done;
};

// The spec of a task says how long it works: "work_ms=N". Without it, the task
// lasts until it is stopped.
class Executor {
 public:
  Executor(ExecutorSettings settings, Record* record);
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  // Starts an incarnation with a new id, which holds and knows nothing.
  void Start();
  // The same, under the id that it had.
  void StartAgain();
  // The process ends: its connections are reset and nothing is sent any more.
  void Crash();
  const std::string& id() const { return id_; }
  bool IsRunning(const std::string& task_prefix);
  int CountRunning();
  // The next hold call reaches the executor this much later, as when the
  // packet that opens its connection is lost. Needs `closes_connections`.
  void DelayNextHold(int64_t ms);
  // Whether that call is on its way.
  bool IsHoldDelayed() const { return hold_delayed_; }
  History CopyHistory();

 private:
  using Clock = std::chrono::steady_clock;
  struct Run {
    uint64_t run = 0;
    int64_t cpu = 0;
    Clock::time_point started;
    int64_t work_ms = -1;  // -1: it lasts.
    int64_t percent = 100;
    bool stopping = false;
    Clock::time_point stop_at;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
  };

  void Begin(std::string id);
  Response Handle(const Request& request);
  Response HandleStart(const std::string& body);
  Response HandleStop(const std::string& body);
  Response HandleHold(const std::string& body);
  Response HandlePace(const std::string& body);
  // Ends what is due; call it with the lock.
  void Advance();
  void EndRun(const std::string& task, const std::string& how);
  int64_t ClockMs() const;
  void Work();
  void Beat();
  std::string Stamp(const std::string& rest) const;

  const ExecutorSettings settings_;
  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  std::string id_;
  int64_t born_ = 0;
  Clock::time_point epoch_;
  int64_t sequence_ = 0;
  uint64_t fence_ = 0;
  int64_t until_ms_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, uint64_t> highest_ended_;
  std::deque<End> ends_;
  // The highest `last_seen`. Ends up to it are not listed any more.
  int64_t acknowledged_ = 0;
  History history_;
  std::atomic<int64_t> hold_delay_ms_ = 0;
  std::atomic<bool> hold_delayed_ = false;
  int64_t last_end_ = 0;
  std::unique_ptr<HttpServer> server_;
  std::atomic<bool> quit_ = false;
  std::thread worker_;
  std::thread beater_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_EXECUTOR_H_
