#ifndef PACKAGES_BASE_JSON_H_
#define PACKAGES_BASE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/error.h"

namespace bramleyrail {

using Json = nlohmann::ordered_json;

enum class JsonComments { kRefuse, kAllow };

// Parses text; a syntax error comes back with its position.
Result<Json> ParseJson(std::string_view text, JsonComments comments);

// Reads the fields of one JSON object and collects every fault by field path,
// so that a faulty input is refused whole with all its faults at once.
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

  const Json& object_;
  std::string path_;
  std::vector<FieldFault>* faults_;
  std::set<std::string, std::less<>> known_fields_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_JSON_H_
