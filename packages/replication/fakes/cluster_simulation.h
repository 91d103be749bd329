#ifndef PACKAGES_REPLICATION_FAKES_CLUSTER_SIMULATION_H_
#define PACKAGES_REPLICATION_FAKES_CLUSTER_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/replication/fakes/safety_checker.h"
#include "packages/replication/replica_driver.h"
#include "packages/storage/fakes/fake_disk.h"

namespace bramleyrail {

// Simulates a cluster in one thread: a seeded event loop with a clock for each
// instance, links that drop, delay and reorder messages or are cut, and fake
// disks. A SafetyChecker checks each instance after each of its steps.
class ClusterSimulation {
 public:
  struct Options {
    std::vector<std::string> voters;
    std::vector<std::string> observers;
    // Instances with a disk that are down until Restart() starts them.
    std::vector<std::string> spares;
    size_t target_voters = 0;
    // Names in the `peers` option of each instance; empty: all instances.
    std::vector<std::string> peers;
    uint64_t seed = 0;
    double drop_probability = 0;
    Milliseconds maximum_delay{20};
    // Clocks run at rates up to this much above and below 1.
    double clock_rate_difference = 0;
    LogIndex snapshot_entries = 50;
    size_t snapshot_bytes = 100;
  };

  explicit ClusterSimulation(Options options);
  ~ClusterSimulation();

  void RunFor(Milliseconds duration);
  // Runs until the condition holds. Returns false when it does not hold within
  // 60 s of simulated time.
  bool RunUntil(const std::function<bool()>& condition);
  bool RunUntilLeader();
  // Runs until every instance has applied all committed entries.
  bool RunUntilConverged();

  void Propose(const std::string& name) { ProposeTogether(name, 1); }
  // Proposes several commands in one step.
  void ProposeTogether(const std::string& name, int count);
  // Ends the process. Unsynced content is lost except for `surviving_bytes`.
  void Crash(const std::string& name, size_t surviving_bytes, bool garbled);
  void Restart(const std::string& name);
  // Ends the process and empties its disk.
  void LoseDisk(const std::string& name);
  void CutLink(const std::string& from, const std::string& to);
  void Isolate(const std::string& name);
  void HealLinks() { cut_links_.clear(); }
  // A paused instance takes no step until it is resumed.
  void Pause(const std::string& name) { paused_.insert(name); }
  void Resume(const std::string& name) { paused_.erase(name); }
  void TransferLeadership(const std::string& name);

  // Describes the state of every instance, for the message of a failed check.
  std::string Describe() const;
  // Returns the instance that holds the lease now, or "".
  std::string Leader() const;
  bool IsUp(const std::string& name) const;
  const ReplicaDriver& At(const std::string& name) const;
  FakeDisk& DiskOf(const std::string& name);
  MonotonicTime NowAt(const std::string& name) const;
  // True when each voter of the committed configuration is the current replica
  // of its instance, and there are as many voters as initial ones.
  bool IsRepaired() const;
  const std::vector<std::string>& names() const { return names_; }
  SafetyChecker& checker() { return checker_; }
  uint64_t events() const { return events_; }
  int snapshots_restored() const { return snapshots_restored_; }
  int successes() const { return successes_; }

 private:
  struct Instance {
    std::shared_ptr<FakeDisk> disk;  // Null for an observer.
    std::unique_ptr<ReplicaDriver> driver;
    double clock_rate = 1;
    uint64_t process = 0;  // Counts restarts.
    uint64_t applied_hash = 0;
    // Sender and message, delivered at the first tick after the pause.
    std::vector<std::pair<std::string, Bytes>> queued_while_paused;
  };

  struct Event {
    int64_t time = 0;  // In microseconds.
    uint64_t sequence = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::tie(other.time, other.sequence) < std::tie(time, sequence);
    }
  };

  void Schedule(int64_t delay, std::function<void()> run);
  void ScheduleTick(const std::string& name, uint64_t process);
  bool Send(const std::string& from, const std::string& to, Bytes bytes);
  void Deliver(const std::string& from, const std::string& to, Bytes bytes);
  void Step(const std::string& name, ReplicaDriver::Input input);
  ReplicaOptions DriverOptions(const std::string& name);
  double Random();

  const Options options_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, Instance> instances_;
  std::priority_queue<Event> queue_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::set<std::string> paused_;
  int64_t now_ = 0;
  uint64_t sequence_ = 0;
  uint64_t events_ = 0;
  uint64_t proposals_ = 0;
  int snapshots_restored_ = 0;
  int successes_ = 0;
  bool stopping_ = false;
  SafetyChecker checker_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_FAKES_CLUSTER_SIMULATION_H_
