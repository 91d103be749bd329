#ifndef PACKAGES_BASE_RCU_POINTER_H_
#define PACKAGES_BASE_RCU_POINTER_H_

#include <atomic>
#include <memory>
#include <utility>

namespace bramleyrail {

// Keeps the calling thread inside a read-copy-update read section. The thread
// is registered with the library on first use and unregistered when it ends.
class RcuReadSection {
 public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

// Waits until every read section that was open has ended. Must not be called
// inside a read section.
void WaitForRcuReaders();

// A pointer to an immutable value. Readers take no lock and never wait;
// writers publish a new value and wait for the readers of the old one.
template <typename T>
class RcuPointer {
 public:
  explicit RcuPointer(std::unique_ptr<const T> value)
      : value_(value.release()) {}
  ~RcuPointer() { delete value_.load(std::memory_order_relaxed); }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  // The value stays valid until `section` ends.
  const T& Read(const RcuReadSection& /*section*/) const {
    return *value_.load(std::memory_order_acquire);
  }

  // Replaces the value. Blocks for the readers of the old one, so callers stay
  // off the request path.
  void Publish(std::unique_ptr<const T> value) {
    std::unique_ptr<const T> old(
        value_.exchange(value.release(), std::memory_order_acq_rel));
    WaitForRcuReaders();
  }

 private:
  std::atomic<const T*> value_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_RCU_POINTER_H_
