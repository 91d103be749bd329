#ifndef PACKAGES_BASE_CHECKSUM_H_
#define PACKAGES_BASE_CHECKSUM_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace bramleyrail {

// CRC-32C, as in log records and frames between instances.
uint32_t Crc32c(std::span<const std::byte> data);

// 64-bit xxHash, for spreading keys; not a checksum of stored data.
uint64_t Hash64(std::string_view data, uint64_t seed);

inline std::span<const std::byte> AsBytes(std::string_view text) {
  return std::as_bytes(std::span<const char>(text.data(), text.size()));
}

inline std::string_view AsText(std::span<const std::byte> data) {
  return {reinterpret_cast<const char*>(data.data()), data.size()};
}

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_CHECKSUM_H_
