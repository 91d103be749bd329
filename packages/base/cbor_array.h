#ifndef PACKAGES_BASE_CBOR_ARRAY_H_
#define PACKAGES_BASE_CBOR_ARRAY_H_

// Arrays in CBOR, element by element. Encoding or decoding a large array as one
// Json takes many times the memory of its bytes.

#include <cstddef>
#include <span>
#include <vector>

#include "packages/base/error.h"

namespace bramleyrail::codec {

// Appends the head of an array. The encoded elements follow it.
void AppendArrayHead(size_t elements, std::vector<std::byte>* bytes);
// Returns the encoded elements of an array. kDataLoss when the bytes are not
// one complete array of values with known lengths, which is all that Encode()
// writes.
Result<std::vector<std::span<const std::byte>>> ElementsOf(
    std::span<const std::byte> array);

}  // namespace bramleyrail::codec

#endif  // PACKAGES_BASE_CBOR_ARRAY_H_
