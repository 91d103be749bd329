#ifndef PACKAGES_BASE_JSON_H_
#define PACKAGES_BASE_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/error.h"

namespace bramleyrail {

using Json = nlohmann::ordered_json;

enum class JsonComments { kRefuse, kAllow };

// Copying and destroying a value takes stack for each level of nesting, so that
// text from other processes could end this one.
inline constexpr int kMaximumNestingDepth = 64;
// Larger whole numbers are not exact in every JSON implementation.
inline constexpr int64_t kMaximumJsonInteger = (int64_t{1} << 53) - 1;

// Parses text; a syntax error comes back with its position. Refuses values that
// are nested more deeply than kMaximumNestingDepth, numbers that a double
// cannot hold, and text with more than `maximum_values` values. A value of two
// bytes of text takes 50 in memory, so that a short text could exhaust it.
Result<Json> ParseJson(std::string_view text,
                       JsonComments comments,
                       size_t maximum_values = SIZE_MAX);

// Parses one value in CBOR. nullopt when the bytes are not valid, or are nested
// more deeply than kMaximumNestingDepth.
std::optional<Json> ParseCbor(std::span<const std::byte> data);

// Appends the text as a JSON string. Invalid UTF-8 is replaced by U+FFFD.
void AppendJsonString(std::string_view text, std::string* output);

// Reads the fields of one JSON object and collects its faults by field path, so
// that a faulty input is refused whole with its first kMaximumFaults at once.
//
//   JsonReader reader(object, "spec", &faults);
//   spec.replicas = reader.Integer("replicas", {.minimum = 0}).value_or(1);
//   reader.RefuseUnknownFields();
class JsonReader {
 public:
  struct IntegerRange {
    int64_t minimum = INT64_MIN;
    int64_t maximum = INT64_MAX;
  };
  enum class Presence { kRequired, kOptional };
  // Further faults are not collected: an input may have one in each value.
  static constexpr size_t kMaximumFaults = 100;

  JsonReader(const Json& object,
             std::string path,
             std::vector<FieldFault>* faults);

  // Each returns nullopt when the field is absent or faulty; a fault is
  // recorded when it is faulty, or absent although required.
  std::optional<std::string> String(std::string_view field, Presence presence);
  std::optional<int64_t> Integer(std::string_view field,
                                 Presence presence,
                                 IntegerRange range);
  std::optional<double> Number(std::string_view field, Presence presence);
  std::optional<bool> Boolean(std::string_view field, Presence presence);
  std::optional<std::vector<std::string>> Strings(std::string_view field,
                                                  Presence presence);
  // Returns the object or array at `field`, or nullptr.
  const Json* Object(std::string_view field, Presence presence);
  const Json* Array(std::string_view field, Presence presence);

  // Records a fault for every field that was never asked for.
  void RefuseUnknownFields();

  void AddFault(std::string_view field, std::string message);
  std::string PathOf(std::string_view field) const;

 private:
  const Json* Find(std::string_view field, Presence presence);
  void Collect(FieldFault fault);

  const Json& object_;
  std::string path_;
  std::vector<FieldFault>* faults_;
  std::set<std::string, std::less<>> known_fields_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_JSON_H_
