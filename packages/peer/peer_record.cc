#include "packages/peer/peer_record.h"

#include <utility>

namespace bramleyrail {

PeerRecord::PeerRecord(PeerAddress address) : address_(std::move(address)) {
  info_.name = address_.name;
}

void PeerRecord::SetInfo(std::string failure_domain, std::string region) {
  absl::MutexLock lock(&mutex_);
  info_.failure_domain = std::move(failure_domain);
  info_.region = std::move(region);
}

void PeerRecord::AddReceived(uint64_t bytes, MonotonicTime now) {
  bytes_received_ += bytes;
  last_contact_ = now.time_since_epoch().count();
}

PeerStatus PeerRecord::Status() const {
  PeerStatus status;
  {
    absl::MutexLock lock(&mutex_);
    status.info = info_;
  }
  status.connected = connected_;
  const MonotonicTime::rep last_contact = last_contact_;
  if (last_contact != 0) {
    status.last_contact = MonotonicTime(MonotonicTime::duration(last_contact));
  }
  status.bytes_sent = bytes_sent_;
  status.bytes_received = bytes_received_;
  status.dropped_messages = dropped_messages_;
  status.late_answers = late_answers_;
  status.connections_lost = connections_lost_;
  return status;
}

}  // namespace bramleyrail
