#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "packages/bramleyctl/commands.h"
#include "packages/state/state.h"

namespace bramleyrail {

Result<std::string> ReadKind(std::string_view text) {
  const std::string name = absl::StrReplaceAll(
      absl::string_view(text.data(), text.size()), {{"-", "_"}});
  TRY(ParseResourceKind(name));
  return name;
}

Result<std::vector<std::string>> ReadKinds(std::string_view list) {
  std::vector<std::string> kinds;
  if (list.empty()) {
    for (int i = 0; i <= static_cast<int>(ResourceKind::kTarget); ++i) {
      kinds.emplace_back(ResourceKindName(static_cast<ResourceKind>(i)));
    }
    return kinds;
  }
  for (const absl::string_view name :
       absl::StrSplit(absl::string_view(list.data(), list.size()), ',')) {
    TRY(kind, ReadKind(std::string_view(name.data(), name.size())));
    kinds.push_back(kind);
  }
  return kinds;
}

}  // namespace bramleyrail
