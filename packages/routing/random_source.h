#ifndef PACKAGES_ROUTING_RANDOM_SOURCE_H_
#define PACKAGES_ROUTING_RANDOM_SOURCE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace bramleyrail {

// A SplitMix64 generator that threads may share without a lock. The same
// seed gives the same sequence, so tests are reproducible.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    constexpr uint64_t kIncrement = 0x9e3779b97f4a7c15;
    uint64_t value =
        state_.fetch_add(kIncrement, std::memory_order_relaxed) + kIncrement;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
  }

  // Uniform in [0, limit); `limit` must not be 0.
  size_t Index(size_t limit) { return Next() % limit; }

  // Uniform in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  std::atomic<uint64_t> state_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_RANDOM_SOURCE_H_
