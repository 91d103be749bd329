#ifndef PACKAGES_TARGET_CONNECTION_POOL_H_
#define PACKAGES_TARGET_CONNECTION_POOL_H_

#include <deque>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/routing/routing.h"
#include "packages/target/target_connection.h"

namespace bramleyrail {

// Idle connections to targets, by session. Together with the connections in
// use they never exceed what the target has announced.
class ConnectionPool {
 public:
  // Returns a usable idle connection of the session, or nullptr.
  std::unique_ptr<TargetConnection> Take(const TargetSession& session);

  // Closes an idle connection when a new one would exceed the session's limit.
  void MakeRoom(const TargetSession& session);

  void Put(const TargetSession& session,
           std::unique_ptr<TargetConnection> connection);

  // Closes the idle connections of the session: one failed, and the others
  // share its path.
  void Drop(const TargetSession& session);

  // Closes connections that were idle for too long.
  void RemoveOld();

 private:
  struct Idle {
    std::unique_ptr<TargetConnection> connection;
    MonotonicTime since;
  };
  using IdleConnections = std::deque<Idle>;  // Oldest first.

  static std::string KeyOf(const TargetSession& session);

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, IdleConnections> idle_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_CONNECTION_POOL_H_
