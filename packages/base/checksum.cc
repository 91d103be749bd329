#include "packages/base/checksum.h"

#include <xxhash.h>

#include <boost/crc.hpp>

namespace bramleyrail {

uint32_t Crc32c(std::span<const std::byte> data) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

}  // namespace bramleyrail
