#ifndef PACKAGES_REPLICATION_REPLICA_STATUS_H_
#define PACKAGES_REPLICATION_REPLICA_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "packages/consensus/consensus.h"

namespace bramleyrail {

struct ReplicaStatus {
  // nullopt while the data folder is empty and the cluster has not formed yet.
  std::optional<ReplicaId> id;
  bool is_observer = false;
  ReplicaRole role = ReplicaRole::kFollower;
  Term term = 0;
  std::optional<ReplicaId> leader;
  std::vector<ReplicaId> voters;
  std::vector<ReplicaId> learners;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  // The fault after which this process stopped using its storage.
  std::optional<Error> storage_fault;
};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_REPLICA_STATUS_H_
