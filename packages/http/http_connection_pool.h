#ifndef PACKAGES_HTTP_HTTP_CONNECTION_POOL_H_
#define PACKAGES_HTTP_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// Decides which connections a client opens, reuses and closes, so that all
// connections together stay within a limit. Knows connections by number only.
class HttpConnectionPool {
 public:
  struct Options {
    // Of all addresses together, open and idle ones.
    size_t maximum_connections = 1'000;
    size_t maximum_connections_per_address = 8;
    // An idle connection is not used any more after this long.
    Milliseconds idle_timeout{10'000};
  };
  using Number = uint64_t;

  struct Grant {
    Number connection = 0;
    bool is_new = false;  // The owner has to open it.
  };

  explicit HttpConnectionPool(Options options) : options_(options) {}

  // Returns a connection for one call, or nullopt when the limits allow none
  // until another call ends. Prefers the most recently used idle connection.
  // When all connections are open, the first one to an address takes the place
  // of an idle one to another address.
  std::optional<Grant> Acquire(const std::string& address, MonotonicTime now);
  // Ends the use of a connection, and removes it when it is not reusable.
  void Release(Number connection, bool reusable, MonotonicTime now);
  // Removes the idle connections to the address.
  void RemoveIdle(const std::string& address);
  // Connections that were removed since the last call. The owner closes them.
  std::vector<Number> TakeRemoved() { return std::exchange(removed_, {}); }

  // Whether an address without a connection would get one.
  bool HasRoom() const {
    return size() < options_.maximum_connections || idle() > 0;
  }
  size_t size() const { return connections_.size(); }
  size_t idle() const { return idle_by_age_.size(); }

 private:
  struct Connection {
    std::string address;
    std::optional<MonotonicTime> idle_since;
  };
  struct Address {
    size_t connections = 0;
    std::vector<Number> idle;  // The most recently used one is last.
  };

  void Remove(Number connection);
  void RemoveExpired(MonotonicTime now);

  const Options options_;
  std::map<Number, Connection> connections_;
  std::map<std::string, Address> addresses_;
  std::set<std::pair<MonotonicTime, Number>> idle_by_age_;
  std::vector<Number> removed_;
  Number last_number_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_HTTP_CONNECTION_POOL_H_
