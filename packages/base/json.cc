#include "packages/base/json.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace bramleyrail {

namespace {

// Builds a value from the events of a parser, and stops the parser at a value
// that is nested too deeply, since the one for binary formats takes stack for
// each level, or at one value too many.
class DocumentBuilder final : public nlohmann::json_sax<Json> {
 public:
  explicit DocumentBuilder(size_t maximum_values)
      : maximum_values_(maximum_values) {}

  Json& document() { return document_; }
  bool is_too_deep() const { return is_too_deep_; }
  bool has_too_many_values() const { return values_ > maximum_values_; }
  const std::string& error() const { return error_; }

  bool null() override { return Add(nullptr) != nullptr; }
  bool boolean(bool value) override { return Add(value) != nullptr; }
  bool number_integer(int64_t value) override { return Add(value) != nullptr; }
  bool number_unsigned(uint64_t value) override {
    return Add(value) != nullptr;
  }
  bool number_float(double value, const std::string&) override {
    return Add(value) != nullptr;
  }
  bool string(std::string& value) override {
    return Add(std::move(value)) != nullptr;
  }
  bool binary(Json::binary_t& value) override {
    return Add(Json::binary(std::move(value))) != nullptr;
  }
  bool key(std::string& name) override {
    member_ = &(*open_.back())[std::move(name)];
    return true;
  }
  bool start_object(size_t) override { return Open(Json::object()); }
  bool end_object() override { return Close(); }
  bool start_array(size_t) override { return Open(Json::array()); }
  bool end_array() override { return Close(); }
  bool parse_error(size_t,
                   const std::string& last_token,
                   const nlohmann::json::exception& error) override {
    // The token may be part of a secret.
    error_ = absl::StrReplaceAll(
        error.what(), {{absl::StrCat("; last read: '", last_token, "'"), ""}});
    return false;
  }

 private:
  // Returns nullptr for one value too many.
  Json* Add(Json value) {
    ++values_;
    if (has_too_many_values()) {
      return nullptr;
    }
    if (open_.empty()) {
      document_ = std::move(value);
      return &document_;
    }
    Json* parent = open_.back();
    if (parent->is_array()) {
      parent->push_back(std::move(value));
      return &parent->back();
    }
    *member_ = std::move(value);
    return member_;
  }

  bool Open(Json value) {
    is_too_deep_ = open_.size() >= static_cast<size_t>(kMaximumNestingDepth);
    Json* const added = is_too_deep_ ? nullptr : Add(std::move(value));
    if (added != nullptr) {
      open_.push_back(added);
    }
    return added != nullptr;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  Json document_;
  std::vector<Json*> open_;  // The objects and arrays that are not complete.
  Json* member_ = nullptr;   // Of the innermost object, for the next value.
  bool is_too_deep_ = false;
  const size_t maximum_values_;
  size_t values_ = 0;
  std::string error_;
};

bool NeedsEscape(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte < 0x20 || byte == '"' || byte == '\\' || byte >= 0x7f;
}

}  // namespace

void AppendJsonString(std::string_view text, std::string* output) {
  if (std::any_of(text.begin(), text.end(), NeedsEscape)) {
    output->append(Json(std::string(text))
                       .dump(-1, ' ', false, Json::error_handler_t::replace));
    return;
  }
  output->push_back('"');
  output->append(text);
  output->push_back('"');
}

Result<Json> ParseJson(std::string_view text,
                       JsonComments comments,
                       size_t maximum_values) {
  DocumentBuilder builder(maximum_values);
  if (Json::sax_parse(text.begin(), text.end(), &builder,
                      Json::input_format_t::json, /*strict=*/true,
                      comments == JsonComments::kAllow)) {
    return std::move(builder.document());
  }
  if (builder.is_too_deep()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     absl::StrCat("the JSON value is nested more than ",
                                  kMaximumNestingDepth, " levels deep"),
                     "send the value with fewer levels");
  }
  if (builder.has_too_many_values()) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        absl::StrCat("the JSON text has more than ", maximum_values, " values"),
        "send fewer values");
  }
  return MakeError(
      ErrorKind::kInvalidArgument,
      absl::StrCat("the text is not valid JSON: ", builder.error()),
      "correct the syntax at the position named");
}

std::optional<Json> ParseCbor(std::span<const std::byte> data) {
  DocumentBuilder builder(SIZE_MAX);
  const auto* begin = reinterpret_cast<const uint8_t*>(data.data());
  if (!Json::sax_parse(begin, begin + data.size(), &builder,
                       Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return std::move(builder.document());
}

JsonReader::JsonReader(const Json& object,
                       std::string path,
                       std::vector<FieldFault>* faults)
    : object_(object), path_(std::move(path)), faults_(faults) {
  if (!object_.is_object()) {
    Collect({path_, "must be a JSON object"});
  }
}

std::string JsonReader::PathOf(std::string_view field) const {
  return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
}

void JsonReader::AddFault(std::string_view field, std::string message) {
  Collect({PathOf(field), std::move(message)});
}

void JsonReader::Collect(FieldFault fault) {
  if (faults_->size() < kMaximumFaults) {
    faults_->push_back(std::move(fault));
  }
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
