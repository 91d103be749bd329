#include "packages/target/connection_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Shorter than the usual keep-alive limits of HTTP servers (5 s and more), so
// that the target rarely closes a connection while a request is on its way.
constexpr Milliseconds kIdleLimit{2'000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

std::string ConnectionPool::KeyOf(const TargetSession& session) {
  return absl::StrCat(session.name(), "/", session.session());
}

std::unique_ptr<TargetConnection> ConnectionPool::Take(
    const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  const auto found = idle_.find(KeyOf(session));
  if (found == idle_.end()) {
    return nullptr;
  }
  IdleConnections& connections = found->second;
  while (!connections.empty()) {
    Idle newest = std::move(connections.back());
    connections.pop_back();
    if (Now() - newest.since < kIdleLimit &&
        newest.connection->stream().IsQuiet()) {
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

void ConnectionPool::MakeRoom(const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  const auto found = idle_.find(KeyOf(session));
  if (found == idle_.end()) {
    return;
  }
  // The new connection is counted as in use already.
  const int64_t limit = std::max<int64_t>(
      0, session.connections() - session.connections_in_use());
  while (static_cast<int64_t>(found->second.size()) > limit) {
    found->second.pop_front();
  }
}

void ConnectionPool::Put(const TargetSession& session,
                         std::unique_ptr<TargetConnection> connection) {
  if (session.closed()) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  IdleConnections& connections = idle_[KeyOf(session)];
  connections.push_back({std::move(connection), Now()});
  // The returning request is still counted as in use.
  const int64_t limit = std::max<int64_t>(
      0, session.connections() - session.connections_in_use() + 1);
  while (static_cast<int64_t>(connections.size()) > limit) {
    connections.pop_front();
  }
}

void ConnectionPool::Drop(const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  idle_.erase(KeyOf(session));
}

void ConnectionPool::RemoveOld() {
  const MonotonicTime now = Now();
  absl::MutexLock lock(&mutex_);
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    const auto current = entry++;
    IdleConnections& connections = current->second;
    while (!connections.empty() &&
           now - connections.front().since >= kIdleLimit) {
      connections.pop_front();
    }
    if (connections.empty()) {
      idle_.erase(current);
    }
  }
}

}  // namespace bramleyrail
