#include "packages/http/http_connection_pool.h"

#include <algorithm>

namespace bramleyrail {

std::optional<HttpConnectionPool::Grant> HttpConnectionPool::Acquire(
    const std::string& address,
    MonotonicTime now) {
  RemoveExpired(now);
  Address& entry = addresses_[address];
  if (!entry.idle.empty()) {
    const Number number = entry.idle.back();
    entry.idle.pop_back();
    Connection& connection = connections_.at(number);
    idle_by_age_.erase({*connection.idle_since, number});
    connection.idle_since.reset();
    return Grant{number, false};
  }
  const bool full = connections_.size() >= options_.maximum_connections;
  // A further connection takes a round trip to open, and so does a call that is
  // in progress. It is not worth the connection of another address.
  const bool may_replace = !idle_by_age_.empty() && entry.connections == 0;
  if (entry.connections >= options_.maximum_connections_per_address ||
      (full && !may_replace)) {
    if (entry.connections == 0) {
      addresses_.erase(address);
    }
    return std::nullopt;
  }
  // Counted before a removal, which could otherwise erase the address.
  ++entry.connections;
  if (full) {
    Remove(idle_by_age_.begin()->second);
  }
  const Number number = ++last_number_;
  connections_[number] = {address, std::nullopt};
  return Grant{number, true};
}

void HttpConnectionPool::Release(Number number,
                                 bool reusable,
                                 MonotonicTime now) {
  Connection& connection = connections_.at(number);
  connection.idle_since = now;
  idle_by_age_.emplace(now, number);
  addresses_.at(connection.address).idle.push_back(number);
  if (!reusable) {
    Remove(number);
  }
}

void HttpConnectionPool::RemoveIdle(const std::string& address) {
  const auto found = addresses_.find(address);
  if (found == addresses_.end()) {
    return;
  }
  const std::vector<Number> idle = found->second.idle;
  for (const Number number : idle) {
    Remove(number);
  }
}

void HttpConnectionPool::RemoveExpired(MonotonicTime now) {
  while (!idle_by_age_.empty() &&
         idle_by_age_.begin()->first + options_.idle_timeout < now) {
    Remove(idle_by_age_.begin()->second);
  }
}

void HttpConnectionPool::Remove(Number number) {
  const auto found = connections_.find(number);
  const Connection& connection = found->second;
  const auto address = addresses_.find(connection.address);
  std::erase(address->second.idle, number);
  if (--address->second.connections == 0) {
    addresses_.erase(address);
  }
  idle_by_age_.erase({*connection.idle_since, number});
  connections_.erase(found);
  removed_.push_back(number);
}

}  // namespace bramleyrail
