#ifndef PACKAGES_CONSENSUS_BYTE_CODEC_H_
#define PACKAGES_CONSENSUS_BYTE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// Appends little-endian integers and length-prefixed strings to a byte vector.
// Stored records use this format.
class ByteWriter {
 public:
  explicit ByteWriter(std::vector<std::byte>* out) : out_(out) {}

  template <typename T>
  void Integer(T value) {
    for (size_t position = 0; position < sizeof(T); ++position) {
      out_->push_back(static_cast<std::byte>(static_cast<uint64_t>(value) >>
                                             (position * 8)));
    }
  }

  void Raw(std::span<const std::byte> data) {
    out_->insert(out_->end(), data.begin(), data.end());
  }

  void Text(std::string_view text) {
    Integer<uint32_t>(static_cast<uint32_t>(text.size()));
    Raw(AsBytes(text));
  }

 private:
  std::vector<std::byte>* out_;
};

// Reads data that was written by ByteWriter. The methods return nullopt when
// the data is too short.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::byte> data) : data_(data) {}

  template <typename T>
  std::optional<T> Integer() {
    if (data_.size() < sizeof(T)) {
      return std::nullopt;
    }
    uint64_t value = 0;
    for (size_t position = 0; position < sizeof(T); ++position) {
      value |= static_cast<uint64_t>(data_[position]) << (position * 8);
    }
    data_ = data_.subspan(sizeof(T));
    return static_cast<T>(value);
  }

  std::optional<std::string> Text() {
    const std::optional<uint32_t> length = Integer<uint32_t>();
    if (!length || *length > data_.size()) {
      return std::nullopt;
    }
    std::string text(AsText(data_.first(*length)));
    data_ = data_.subspan(*length);
    return text;
  }

  std::span<const std::byte> Rest() const { return data_; }
  bool AtEnd() const { return data_.empty(); }

 private:
  std::span<const std::byte> data_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONSENSUS_BYTE_CODEC_H_
