#include "packages/bramleyraild/relayed_memory.h"

namespace bramleyrail {

namespace {

// The decoded request, and its body while it is read.
constexpr size_t kCopies = 2;

}  // namespace

std::shared_ptr<void> RelayedMemory::Take(size_t request_bytes) {
  const size_t bytes = request_bytes * kCopies;
  if (used_.fetch_add(bytes) + bytes > limit_) {
    used_ -= bytes;
    ++refused_;
    return nullptr;
  }
  return {static_cast<void*>(this), [this, bytes](void*) { used_ -= bytes; }};
}

}  // namespace bramleyrail
