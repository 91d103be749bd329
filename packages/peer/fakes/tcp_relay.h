#ifndef PACKAGES_PEER_FAKES_TCP_RELAY_H_
#define PACKAGES_PEER_FAKES_TCP_RELAY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// A link between two instances on loopback that can fail: forwards each
// connection to a port that is set later.
class TcpRelay {
 public:
  TcpRelay();
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  uint16_t port() const { return port_; }
  void SetTarget(uint16_t port) { target_port_ = port; }
  // Stops forwarding on the open connections without closing them; new ones
  // work.
  void FreezeOpenConnections() { freeze_ = true; }
  // Changes one bit of the last byte of what is forwarded next.
  void DamageNextBytes() { damage_ = true; }
  int accepted_connections() const { return accepted_connections_; }

 private:
  struct Pair {
    FileDescriptor client;
    FileDescriptor server;
    bool frozen = false;
  };

  void Run();
  void AcceptOne();
  // False when either end has closed.
  bool Forward(const FileDescriptor& from, const FileDescriptor& to);

  FileDescriptor listener_;
  uint16_t port_ = 0;
  std::atomic<uint16_t> target_port_ = 0;
  std::atomic<bool> freeze_ = false;
  std::atomic<bool> damage_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_connections_ = 0;
  std::vector<Pair> pairs_;
  std::thread thread_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_FAKES_TCP_RELAY_H_
