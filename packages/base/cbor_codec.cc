#include "packages/base/cbor_codec.h"

namespace bramleyrail::codec {

std::vector<std::byte> ToCbor(const Json& json) {
  std::vector<uint8_t> bytes;
  Json::to_cbor(json, bytes);
  const std::span<const std::byte> view = std::as_bytes(std::span(bytes));
  return {view.begin(), view.end()};
}

Result<Json> FromCbor(std::span<const std::byte> data) {
  auto json = ParseCbor(data);
  if (!json) {
    return DamagedError("the CBOR value");
  }
  return std::move(*json);
}

Error DamagedError(std::string_view what) {
  return MakeError(ErrorKind::kDataLoss,
                   std::string(what) + " cannot be decoded",
                   "check that every instance runs a version that knows this "
                   "format");
}

}  // namespace bramleyrail::codec
