#include "packages/operator/difference.h"

namespace bramleyrail {

namespace {

// Adds an entry for each field that differs. A null pointer is an absent one.
void AddDifferences(const std::string& path,
                    const Json* before,
                    const Json* after,
                    Json& fields) {
  const Json* either = after != nullptr ? after : before;
  const bool same_shape = before == nullptr || after == nullptr ||
                          before->is_object() == after->is_object();
  if (either->is_object() && same_shape) {
    const Json none = Json::object();
    const Json& old_fields = before != nullptr ? *before : none;
    const Json& new_fields = after != nullptr ? *after : none;
    const auto find = [](const Json& object, const std::string& key) {
      const auto found = object.find(key);
      return found == object.end() ? nullptr : &*found;
    };
    for (const auto& [key, value] : old_fields.items()) {
      AddDifferences(path + "." + key, &value, find(new_fields, key), fields);
    }
    for (const auto& [key, value] : new_fields.items()) {
      if (!old_fields.contains(key)) {
        AddDifferences(path + "." + key, nullptr, &value, fields);
      }
    }
    return;
  }
  if (before != nullptr && after != nullptr && *before == *after) {
    return;
  }
  Json field = {{"path", path}};
  if (before != nullptr) {
    field["before"] = *before;
  }
  if (after != nullptr) {
    field["after"] = *after;
  }
  fields.push_back(std::move(field));
}

}  // namespace

Json DifferenceOf(const Resource* before, const Resource& after) {
  Json fields = Json::array();
  const Json new_spec = SpecToJson(after.spec);
  if (before == nullptr) {
    AddDifferences("spec", nullptr, &new_spec, fields);
  } else {
    const Json old_spec = SpecToJson(before->spec);
    AddDifferences("spec", &old_spec, &new_spec, fields);
  }
  const char* action = before == nullptr ? "create"
                       : fields.empty()  ? "none"
                                         : "change";
  return {{"kind", ResourceKindName(after.Kind())},
          {"name", after.name},
          {"action", action},
          {"fields", std::move(fields)}};
}

}  // namespace bramleyrail
