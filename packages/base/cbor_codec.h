#ifndef PACKAGES_BASE_CBOR_CODEC_H_
#define PACKAGES_BASE_CBOR_CODEC_H_

// Typed structs to and from CBOR.
//
// A struct is an array of its fields in the order of Fields(), an overload that
// stands in the namespace of the struct. Fields that are missing at the end
// keep their defaults and surplus ones are ignored, so that a struct may grow
// at its end while instances of two versions run.

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "packages/base/error.h"
#include "packages/base/json.h"

namespace bramleyrail::codec {

// T or const T, so that one Fields() serves reading and writing.
template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

// Number of values of an enum; a decoded number beyond it is a fault.
template <typename Enum>
inline constexpr int64_t kEnumSize = 0;

template <typename T>
concept HasFields = requires(T& value) {
  Fields(value);
};

// An immutable text with a View(), made from a std::string.
template <typename T>
concept IsText = requires(const T& value) {
  { value.View() } -> std::convertible_to<std::string_view>;
};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};

template <typename T>
Json Pack(const T& value) {
  if constexpr (IsText<T>) {
    return std::string(value.View());
  } else if constexpr (std::is_same_v<T, bool> ||
                       std::is_same_v<T, std::string> ||
                       std::is_floating_point_v<T>) {
    return value;
  } else if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
    return static_cast<int64_t>(value);
  } else if constexpr (IsOptional<T>::value) {
    return value ? Json::array({Pack(*value)}) : Json::array();
  } else if constexpr (IsVariant<T>::value) {
    Json body =
        std::visit([](const auto& chosen) { return Pack(chosen); }, value);
    return Json::array({static_cast<int64_t>(value.index()), std::move(body)});
  } else if constexpr (IsVector<T>::value) {
    Json array = Json::array();
    for (const auto& element : value) {
      array.push_back(Pack(element));
    }
    return array;
  } else {
    static_assert(HasFields<const T>);
    Json array = Json::array();
    std::apply(
        [&array](const auto&... field) { (array.push_back(Pack(field)), ...); },
        Fields(value));
    return array;
  }
}

template <typename T>
bool Unpack(const Json& json, T* value);

template <typename Variant, size_t kIndex = 0>
bool UnpackAlternative(int64_t index, const Json& json, Variant* value) {
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (index == static_cast<int64_t>(kIndex)) {
      return Unpack(json, &value->template emplace<kIndex>());
    }
    return UnpackAlternative<Variant, kIndex + 1>(index, json, value);
  } else {
    return false;
  }
}

template <typename T>
bool UnpackFields(const Json& json, T* value) {
  if (!json.is_array()) {
    return false;
  }
  size_t position = 0;
  const auto unpack_next = [&](auto& field) {
    const size_t current = position++;
    return current >= json.size() || Unpack(json[current], &field);
  };
  return std::apply([&](auto&... field) { return (unpack_next(field) && ...); },
                    Fields(*value));
}

// Returns false when the JSON has not the shape that Pack() writes.
template <typename T>
bool Unpack(const Json& json, T* value) {
  if constexpr (IsText<T> || std::is_same_v<T, std::string>) {
    const auto* text = json.get_ptr<const std::string*>();
    *value = text == nullptr ? T() : T(*text);
    return text != nullptr;
  } else if constexpr (std::is_same_v<T, bool>) {
    *value = json.is_boolean() && json.get<bool>();
    return json.is_boolean();
  } else if constexpr (std::is_floating_point_v<T>) {
    *value = json.is_number() ? json.get<T>() : T();
    return json.is_number();
  } else if constexpr (std::is_enum_v<T>) {
    static_assert(kEnumSize<T> > 0);
    int64_t number = 0;
    if (!Unpack(json, &number) || number < 0 || number >= kEnumSize<T>) {
      return false;
    }
    *value = static_cast<T>(number);
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    *value = json.is_number_integer() ? json.get<T>() : T();
    return json.is_number_integer();
  } else if constexpr (IsOptional<T>::value) {
    if (!json.is_array() || json.size() > 1) {
      return false;
    }
    value->reset();
    return json.empty() || Unpack(json[0], &value->emplace());
  } else if constexpr (IsVariant<T>::value) {
    int64_t index = 0;
    return json.is_array() && json.size() == 2 && Unpack(json[0], &index) &&
           UnpackAlternative(index, json[1], value);
  } else if constexpr (IsVector<T>::value) {
    if (!json.is_array()) {
      return false;
    }
    value->clear();
    value->reserve(json.size());
    for (const Json& element : json) {
      if (!Unpack(element, &value->emplace_back())) {
        return false;
      }
    }
    return true;
  } else {
    return UnpackFields(json, value);
  }
}

std::vector<std::byte> ToCbor(const Json& json);
// kDataLoss when the bytes are not one complete CBOR value.
Result<Json> FromCbor(std::span<const std::byte> data);

template <typename T>
std::vector<std::byte> Encode(const T& value) {
  return ToCbor(Pack(value));
}

Error DamagedError(std::string_view what);

template <typename T>
Result<T> Decode(std::span<const std::byte> data, std::string_view what) {
  TRY(json, FromCbor(data));
  T value;
  if (!Unpack(json, &value)) {
    return DamagedError(what);
  }
  return value;
}

}  // namespace bramleyrail::codec

#endif  // PACKAGES_BASE_CBOR_CODEC_H_
