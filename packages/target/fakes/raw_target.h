#ifndef PACKAGES_TARGET_FAKES_RAW_TARGET_H_
#define PACKAGES_TARGET_FAKES_RAW_TARGET_H_

#include <atomic>
#include <string>
#include <thread>

#include "packages/base/base.h"

namespace bramleyrail {

// A server that reads one request on each connection, one connection at a time,
// and responds with fixed bytes, which need not be valid HTTP.
class RawTarget {
 public:
  explicit RawTarget(std::string response);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  int port() const { return port_; }
  int connections() const { return connections_.load(); }
  size_t bytes_received() const { return bytes_received_.load(); }

 private:
  void AcceptConnections();
  void Serve(int socket);

  const std::string response_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<int> connections_{0};
  std::atomic<size_t> bytes_received_{0};
  std::thread thread_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_FAKES_RAW_TARGET_H_
