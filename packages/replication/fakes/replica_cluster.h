#ifndef PACKAGES_REPLICATION_FAKES_REPLICA_CLUSTER_H_
#define PACKAGES_REPLICATION_FAKES_REPLICA_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "packages/replication/replica.h"

namespace bramleyrail {

// Several replicas in one process, connected through their `send` hooks. The
// state machine of each is the list of the commands that it applied.
class ReplicaCluster {
 public:
  ReplicaCluster(std::vector<std::string> initial_voters,
                 std::vector<std::string> peers);
  ~ReplicaCluster();

  // Starts an instance, as an observer if `disk` is null.
  void Start(const std::string& name, std::shared_ptr<Disk> disk);
  void Stop(const std::string& name);
  // Drops every message from and to an instance.
  void Isolate(const std::string& name);
  void Heal(const std::string& name);

  Replica& At(const std::string& name);
  std::vector<std::string> Applied(const std::string& name);
  // Proposes and waits for the outcome.
  Result<std::string> Propose(const std::string& name,
                              std::string_view command);
  // Waits until an instance leads and returns its name, or "" after 60 s.
  std::string WaitForLeader();
  // Waits until the condition holds. Returns false after 60 s.
  static bool WaitFor(const std::function<bool()>& condition);

 private:
  struct Instance {
    absl::Mutex mutex;
    std::vector<std::string> applied;
    std::shared_ptr<Replica> replica;
  };

  bool Deliver(const std::string& from,
               const std::string& to,
               std::span<const std::byte> bytes);

  const std::vector<std::string> initial_voters_;
  const std::vector<std::string> peers_;
  absl::Mutex mutex_;
  std::map<std::string, std::shared_ptr<Instance>> instances_;
  std::set<std::string> isolated_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_FAKES_REPLICA_CLUSTER_H_
