#ifndef PACKAGES_BRAMLEYRAILD_RELAYED_MEMORY_H_
#define PACKAGES_BRAMLEYRAILD_RELAYED_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace bramleyrail {

// Bounds what the requests that other instances have relayed take until they
// are answered. For all threads; outlives what it returns.
class RelayedMemory {
 public:
  explicit RelayedMemory(size_t limit) : limit_(limit) {}

  // Takes room for a request until the result is destroyed; null when there is
  // no room.
  std::shared_ptr<void> Take(size_t request_bytes);

  size_t used() const { return used_; }
  size_t limit() const { return limit_; }
  uint64_t refused() const { return refused_; }

 private:
  const size_t limit_;
  std::atomic<size_t> used_ = 0;
  std::atomic<uint64_t> refused_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_RELAYED_MEMORY_H_
