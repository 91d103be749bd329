#include "packages/base/json.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

Result<Json> ParseJson(std::string_view text, JsonComments comments) {
  try {
    return Json::parse(text.begin(), text.end(), nullptr, true,
                       comments == JsonComments::kAllow);
  } catch (const nlohmann::json::parse_error& error) {
    return MakeError(ErrorKind::kInvalidArgument,
                     absl::StrCat("the text is not valid JSON: ", error.what()),
                     "correct the syntax at the position named");
  }
}

JsonReader::JsonReader(const Json& object,
                       std::string path,
                       std::vector<FieldFault>* faults)
    : object_(object), path_(std::move(path)), faults_(faults) {
  if (!object_.is_object()) {
    faults_->push_back({path_, "must be a JSON object"});
  }
}

std::string JsonReader::PathOf(std::string_view field) const {
  return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
}

void JsonReader::AddFault(std::string_view field, std::string message) {
  faults_->push_back({PathOf(field), std::move(message)});
}

const Json* JsonReader::Find(std::string_view field, Presence presence) {
  known_fields_.emplace(field);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto found = object_.find(std::string(field));
  if (found == object_.end() || found->is_null()) {
    if (presence == Presence::kRequired) {
      AddFault(field, "is required");
    }
    return nullptr;
  }
  return &*found;
}

std::optional<std::string> JsonReader::String(std::string_view field,
                                              Presence presence) {
  const Json* value = Find(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string()) {
    AddFault(field, "must be a string");
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<int64_t> JsonReader::Integer(std::string_view field,
                                           Presence presence,
                                           IntegerRange range) {
  const Json* value = Find(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  const bool representable =
      value->is_number_integer() &&
      (!value->is_number_unsigned() ||
       value->get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX));
  if (!representable) {
    AddFault(field, "must be a whole number");
    return std::nullopt;
  }
  const auto number = value->get<int64_t>();
  if (number < range.minimum || number > range.maximum) {
    AddFault(field, absl::StrCat("must be from ", range.minimum, " to ",
                                 range.maximum));
    return std::nullopt;
  }
  return number;
}

std::optional<double> JsonReader::Number(std::string_view field,
                                         Presence presence) {
  const Json* value = Find(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number()) {
    AddFault(field, "must be a number");
    return std::nullopt;
  }
  return value->get<double>();
}

std::optional<bool> JsonReader::Boolean(std::string_view field,
                                        Presence presence) {
  const Json* value = Find(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_boolean()) {
    AddFault(field, "must be true or false");
    return std::nullopt;
  }
  return value->get<bool>();
}

std::optional<std::vector<std::string>> JsonReader::Strings(
    std::string_view field,
    Presence presence) {
  const Json* value = Array(field, presence);
  if (value == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> strings;
  for (size_t i = 0; i < value->size(); ++i) {
    if (!(*value)[i].is_string()) {
      AddFault(absl::StrCat(absl::string_view(field.data(), field.size()), "[",
                            i, "]"),
               "must be a string");
      return std::nullopt;
    }
    strings.push_back((*value)[i].get<std::string>());
  }
  return strings;
}

const Json* JsonReader::Object(std::string_view field, Presence presence) {
  const Json* value = Find(field, presence);
  if (value != nullptr && !value->is_object()) {
    AddFault(field, "must be a JSON object");
    return nullptr;
  }
  return value;
}

const Json* JsonReader::Array(std::string_view field, Presence presence) {
  const Json* value = Find(field, presence);
  if (value != nullptr && !value->is_array()) {
    AddFault(field, "must be a JSON array");
    return nullptr;
  }
  return value;
}

void JsonReader::RefuseUnknownFields() {
  if (!object_.is_object()) {
    return;
  }
  for (const auto& [field, value] : object_.items()) {
    if (!known_fields_.contains(field)) {
      AddFault(field, "is not a known field; remove it or check its spelling");
    }
  }
}

}  // namespace bramleyrail
