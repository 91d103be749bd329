#ifndef PACKAGES_PEER_PEER_RECORD_H_
#define PACKAGES_PEER_PEER_RECORD_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// What is known about one configured peer, over all its connections. The epoll
// thread writes, all threads read.
class PeerRecord {
 public:
  explicit PeerRecord(PeerAddress address);

  const std::string& name() const { return address_.name; }
  const SocketAddress& address() const { return address_.address; }

  void SetInfo(std::string failure_domain, std::string region);
  void SetConnected(bool connected) { connected_ = connected; }
  void AddSent(uint64_t bytes) { bytes_sent_ += bytes; }
  void AddReceived(uint64_t bytes, MonotonicTime now);
  void CountDroppedMessage() { ++dropped_messages_; }
  void CountLateAnswer() { ++late_answers_; }
  void CountLostConnection() { ++connections_lost_; }

  PeerStatus Status() const;

 private:
  const PeerAddress address_;
  std::atomic<bool> connected_ = false;
  std::atomic<MonotonicTime::rep> last_contact_ = 0;  // 0: never.
  std::atomic<uint64_t> bytes_sent_ = 0;
  std::atomic<uint64_t> bytes_received_ = 0;
  std::atomic<uint64_t> dropped_messages_ = 0;
  std::atomic<uint64_t> late_answers_ = 0;
  std::atomic<uint64_t> connections_lost_ = 0;
  mutable absl::Mutex mutex_;
  PeerInfo info_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_RECORD_H_
