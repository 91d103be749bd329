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

// Idle connections to targets, by session. The idle connections and those in
// use together never exceed the limit that the target has announced.
class ConnectionPool {
 public:
  // Removes a usable idle connection of the session from the pool and returns
  // it; nullptr if there is none.
  std::unique_ptr<TargetConnection> TakeIdleConnection(
      const TargetSession& session);

  // Closes the oldest idle connections of the session that exceed its limit
  // once a new connection is opened.
  void EvictExcessConnections(const TargetSession& session);

  // Adds a connection that is no longer in use.
  void ReturnConnection(const TargetSession& session,
                        std::unique_ptr<TargetConnection> connection);

  // Closes all idle connections of the session. Called after a connection has
  // failed, since the others use the same network path.
  void CloseConnectionsOf(const TargetSession& session);

  // Closes connections that exceed the maximum idle time.
  void CloseExpiredConnections();

 private:
  struct IdleConnection {
    std::unique_ptr<TargetConnection> connection;
    MonotonicTime idle_since;
  };
  using IdleConnections = std::deque<IdleConnection>;  // Oldest first.

  static std::string SessionKey(const TargetSession& session);

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, IdleConnections> idle_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_CONNECTION_POOL_H_
