#ifndef PACKAGES_PEER_FRAME_READER_H_
#define PACKAGES_PEER_FRAME_READER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// Length and CRC-32C of the body, both 4 bytes, little endian.
inline constexpr size_t kFrameHeaderBytes = 8;

// Returns the frame around `body`.
std::vector<std::byte> EncodeFrame(std::span<const std::byte> body);

// Cuts a stream of bytes into frames.
class FrameReader {
 public:
  // Returns an error to stop reading.
  using BodyHandler = std::function<Result<void>(std::span<const std::byte>)>;

  explicit FrameReader(uint32_t maximum_body_bytes)
      : maximum_body_bytes_(maximum_body_bytes) {}

  void set_maximum_body_bytes(uint32_t maximum_body_bytes) {
    maximum_body_bytes_ = maximum_body_bytes;
  }

  // Calls `handler` for each frame that `data` completes; the body starts at
  // an address aligned for FlatBuffers. kDataLoss when a checksum is wrong or
  // a frame is empty or too long; the stream cannot be read any further then.
  Result<void> Feed(std::span<const std::byte> data,
                    const BodyHandler& handler);

  // What an unfinished body takes.
  size_t kept_bytes() const { return body_.empty() ? 0 : body_.capacity(); }

 private:
  Result<void> ReadHeader();
  Result<void> FinishBody(const BodyHandler& handler);

  uint32_t maximum_body_bytes_;
  std::array<std::byte, kFrameHeaderBytes> header_{};
  size_t header_size_ = 0;
  uint32_t body_length_ = 0;
  uint32_t expected_checksum_ = 0;
  std::vector<std::byte> body_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_FRAME_READER_H_
