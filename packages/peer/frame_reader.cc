#include "packages/peer/frame_reader.h"

#include <algorithm>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// A buffer beyond this size is released after its frame, so that one large
// frame does not hold memory for the life of the connection.
constexpr size_t kKeptBodyBytes = 262'144;

void StoreLittleEndian(uint32_t value, std::byte* target) {
  for (int i = 0; i < 4; ++i) {
    target[i] = static_cast<std::byte>(value >> (8 * i));
  }
}

uint32_t LoadLittleEndian(const std::byte* source) {
  uint32_t value = 0;
  for (int i = 0; i < 4; ++i) {
    value |= static_cast<uint32_t>(source[i]) << (8 * i);
  }
  return value;
}

}  // namespace

std::vector<std::byte> EncodeFrame(std::span<const std::byte> body) {
  std::vector<std::byte> frame(kFrameHeaderBytes + body.size());
  StoreLittleEndian(static_cast<uint32_t>(body.size()), frame.data());
  StoreLittleEndian(Crc32c(body), frame.data() + 4);
  std::copy(body.begin(), body.end(), frame.begin() + kFrameHeaderBytes);
  return frame;
}

Result<void> FrameReader::Feed(std::span<const std::byte> data,
                               const BodyHandler& handler) {
  while (!data.empty()) {
    if (header_size_ < kFrameHeaderBytes) {
      const size_t count =
          std::min(data.size(), kFrameHeaderBytes - header_size_);
      std::memcpy(header_.data() + header_size_, data.data(), count);
      header_size_ += count;
      data = data.subspan(count);
      if (header_size_ < kFrameHeaderBytes) {
        return Success();
      }
      TRY(ReadHeader());
      continue;
    }
    const size_t count = std::min(data.size(), body_length_ - body_.size());
    body_.insert(body_.end(), data.begin(),
                 data.begin() + static_cast<std::ptrdiff_t>(count));
    data = data.subspan(count);
    if (body_.size() == body_length_) {
      TRY(FinishBody(handler));
    }
  }
  return Success();
}

Result<void> FrameReader::ReadHeader() {
  body_length_ = LoadLittleEndian(header_.data());
  expected_checksum_ = LoadLittleEndian(header_.data() + 4);
  if (body_length_ == 0 || body_length_ > maximum_body_bytes_) {
    return MakeError(
        ErrorKind::kDataLoss,
        absl::StrCat("frame of ", body_length_, " bytes is not within 1 to ",
                     maximum_body_bytes_),
        "check that both ends run the same version of bramleyrail");
  }
  return Success();
}

Result<void> FrameReader::FinishBody(const BodyHandler& handler) {
  if (Crc32c(body_) != expected_checksum_) {
    return MakeError(ErrorKind::kDataLoss,
                     absl::StrCat("checksum of a frame of ", body_length_,
                                  " bytes is wrong"),
                     "check the network path between the instances");
  }
  header_size_ = 0;
  TRY(handler(body_));
  body_.clear();
  if (body_.capacity() > kKeptBodyBytes) {
    body_.shrink_to_fit();
  }
  return Success();
}

}  // namespace bramleyrail
