// A small deployment on loopback: three processes that serve control, two that
// take requests, some executors, an operator and a client.
#ifndef REVIEW_HARNESS_3_DEPLOYMENT_H_
#define REVIEW_HARNESS_3_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "executor.h"
#include "record.h"

namespace review {

// A process of the system and its supervisor, which starts it again when it has
// ended and ends it when it takes more memory than its machine has.
class Machine {
 public:
  Machine(std::string name,
          std::string program,
          std::string settings_file,
          std::string log_file,
          int64_t memory_mb,
          Record* record);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Signal(int number);
  int ends_of_its_own() const { return ends_; }
  int kills_for_memory() const { return kills_; }
  int64_t peak_mb() const { return peak_mb_; }

 private:
  void Supervise();
  void Spawn();

  const std::string name_;
  const std::string program_;
  const std::string settings_file_;
  const std::string log_file_;
  const int64_t memory_mb_;
  Record* const record_;
  std::atomic<pid_t> pid_ = -1;
  std::atomic<int> ends_ = 0;
  std::atomic<int> kills_ = 0;
  std::atomic<int64_t> peak_mb_ = 0;
  std::atomic<bool> quit_ = false;
  std::thread thread_;
};

class Deployment {
 public:
  // `repository` is its root, with the built program and the template.
  // Changes the settings of an executor by its number.
  using ChangeSettings = std::function<void(int, ExecutorSettings*)>;
  Deployment(const std::string& repository,
             int executors,
             Record* record,
             const ChangeSettings& change = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all processes and stores the first configuration. False when that
  // takes too long.
  bool Start();
  std::vector<std::unique_ptr<Executor>>& executors() { return executors_; }
  std::vector<std::unique_ptr<Machine>>& core() { return core_; }
  std::vector<std::unique_ptr<Machine>>& front() { return front_; }

  // A call of a client to one of the nodes that take requests.
  Response CallFront(size_t node,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     int timeout_ms = 3'000);
  // Hands a job in as clients do: again, at another node, after no response, a
  // 502 or a 504. Returns the last status.
  int Submit(const std::string& id, const std::string& body, int attempts = 5);
  // The state of the job, or "" without an answer 200.
  std::string StateOf(const std::string& id);
  Response CallControl(size_t node,
                       const std::string& method,
                       const std::string& target,
                       const std::string& body);

  static constexpr char kPrefix[] = "/jobs/";

 private:
  std::string Ip(int number) const;
  std::string WriteSettings(const std::string& name,
                            const std::string& ip,
                            const std::string& zone,
                            bool core);

  const std::string repository_;
  Record* const record_;
  std::string folder_;
  std::string network_;  // The first three numbers of all addresses.
  std::vector<std::unique_ptr<Machine>> core_;
  std::vector<std::unique_ptr<Machine>> front_;
  std::vector<std::unique_ptr<Executor>> executors_;
  size_t next_node_ = 0;
};

// 16 hexadecimal digits that are new in this process.
std::string NewJobId();
// TROUBLE=0 leaves the disruption out.
bool WithTrouble();
void SleepMs(int64_t ms);

}  // namespace review

#endif  // REVIEW_HARNESS_3_DEPLOYMENT_H_
