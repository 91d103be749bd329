#include "packages/base/cbor_array.h"

#include <cstdint>
#include <optional>

#include "packages/base/cbor_codec.h"

namespace bramleyrail::codec {

namespace {

// RFC 8949: the upper three bits of the first byte are the type, and the lower
// five the argument, or the length of the argument that follows.
constexpr unsigned kTypeShift = 5;
constexpr uint8_t kArgumentMask = 0x1f;
constexpr uint8_t kOneByteArgument = 24;
constexpr uint8_t kEightByteArgument = 27;

enum class MajorType : uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

struct Head {
  MajorType type = MajorType::kUnsigned;
  uint64_t argument = 0;
};

// Reads the head of a value and removes it from `data`.
std::optional<Head> TakeHead(std::span<const std::byte>* data) {
  if (data->empty()) {
    return std::nullopt;
  }
  const auto first = std::to_integer<uint8_t>(data->front());
  *data = data->subspan(1);
  Head head{static_cast<MajorType>(first >> kTypeShift),
            static_cast<uint64_t>(first & kArgumentMask)};
  if (head.argument < kOneByteArgument) {
    return head;
  }
  if (head.argument > kEightByteArgument) {
    return std::nullopt;
  }
  const size_t length = size_t{1} << (head.argument - kOneByteArgument);
  if (data->size() < length) {
    return std::nullopt;
  }
  head.argument = 0;
  for (const std::byte byte : data->first(length)) {
    head.argument = head.argument << 8 | std::to_integer<uint64_t>(byte);
  }
  *data = data->subspan(length);
  return head;
}

// Removes one value from `data`. Returns false when it is not complete.
bool SkipValue(std::span<const std::byte>* data) {
  for (uint64_t values = 1; values > 0; --values) {
    const std::optional<Head> head = TakeHead(data);
    if (!head) {
      return false;
    }
    switch (head->type) {
      case MajorType::kUnsigned:
      case MajorType::kNegative:
      case MajorType::kSimple:
        break;
      case MajorType::kBytes:
      case MajorType::kText:
        if (head->argument > data->size()) {
          return false;
        }
        *data = data->subspan(head->argument);
        break;
      case MajorType::kArray:
        // Each element takes a byte at least.
        if (head->argument > data->size()) {
          return false;
        }
        values += head->argument;
        break;
      case MajorType::kMap:
      case MajorType::kTag:
        return false;
    }
  }
  return true;
}

}  // namespace

void AppendArrayHead(size_t elements, std::vector<std::byte>* bytes) {
  // A head with an argument of eight bytes may stand for any number.
  constexpr auto kFirst = static_cast<uint8_t>(
      static_cast<uint8_t>(MajorType::kArray) << kTypeShift);
  if (elements < kOneByteArgument) {
    bytes->push_back(static_cast<std::byte>(kFirst | elements));
    return;
  }
  bytes->push_back(static_cast<std::byte>(kFirst | kEightByteArgument));
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes->push_back(
        static_cast<std::byte>(static_cast<uint64_t>(elements) >> shift));
  }
}

Result<std::vector<std::span<const std::byte>>> ElementsOf(
    std::span<const std::byte> array) {
  const std::optional<Head> head = TakeHead(&array);
  if (!head || head->type != MajorType::kArray ||
      head->argument > array.size()) {
    return DamagedError("the CBOR array");
  }
  std::vector<std::span<const std::byte>> elements;
  elements.reserve(head->argument);
  while (elements.size() < head->argument) {
    const std::span<const std::byte> rest = array;
    if (!SkipValue(&array)) {
      return DamagedError("an element of a CBOR array");
    }
    elements.push_back(rest.first(rest.size() - array.size()));
  }
  if (!array.empty()) {
    return DamagedError("the end of a CBOR array");
  }
  return elements;
}

}  // namespace bramleyrail::codec
