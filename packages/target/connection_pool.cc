#include "packages/target/connection_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Shorter than the usual keep-alive timeouts of HTTP servers (5 s and more), so
// that a target rarely closes a connection while a request is sent on it.
constexpr Milliseconds kMaximumIdleTime{2'000};

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

std::string ConnectionPool::SessionKey(const TargetSession& session) {
  return absl::StrCat(session.name(), "/", session.session());
}

std::unique_ptr<TargetConnection> ConnectionPool::TakeIdleConnection(
    const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  const auto found = idle_.find(SessionKey(session));
  if (found == idle_.end()) {
    return nullptr;
  }
  IdleConnections& connections = found->second;
  while (!connections.empty()) {
    IdleConnection newest = std::move(connections.back());
    connections.pop_back();
    if (Now() - newest.idle_since < kMaximumIdleTime &&
        newest.connection->stream().IsReusable()) {
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

void ConnectionPool::EvictExcessConnections(const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  const auto found = idle_.find(SessionKey(session));
  if (found == idle_.end()) {
    return;
  }
  // connections_in_use() already includes the new connection.
  const int64_t limit = std::max<int64_t>(
      0, session.connections() - session.connections_in_use());
  while (static_cast<int64_t>(found->second.size()) > limit) {
    found->second.pop_front();
  }
}

void ConnectionPool::ReturnConnection(
    const TargetSession& session,
    std::unique_ptr<TargetConnection> connection) {
  if (session.closed()) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  IdleConnections& connections = idle_[SessionKey(session)];
  connections.push_back({std::move(connection), Now()});
  // connections_in_use() still includes the request that returns `connection`.
  const int64_t limit = std::max<int64_t>(
      0, session.connections() - session.connections_in_use() + 1);
  while (static_cast<int64_t>(connections.size()) > limit) {
    connections.pop_front();
  }
}

void ConnectionPool::CloseConnectionsOf(const TargetSession& session) {
  absl::MutexLock lock(&mutex_);
  idle_.erase(SessionKey(session));
}

void ConnectionPool::CloseExpiredConnections() {
  const MonotonicTime now = Now();
  absl::MutexLock lock(&mutex_);
  for (auto next = idle_.begin(); next != idle_.end();) {
    const auto current = next++;
    IdleConnections& connections = current->second;
    while (!connections.empty() &&
           now - connections.front().idle_since >= kMaximumIdleTime) {
      connections.pop_front();
    }
    if (connections.empty()) {
      idle_.erase(current);
    }
  }
}

}  // namespace bramleyrail
