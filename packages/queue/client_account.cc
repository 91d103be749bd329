#include "packages/queue/client_account.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// A call with a key must fit the header limits of entry instances (16 KB) and
// of the proxies in front of them.
constexpr size_t kMaximumKeyBytes = 4'096;
// Every job stores the name of its account.
constexpr size_t kMaximumNameBytes = 256;

// A key stands in an HTTP field as one word. Other bytes than printable ASCII
// are not passed on unchanged by every client and proxy.
bool IsUsableKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaximumKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char character) {
           return absl::ascii_isgraph(static_cast<unsigned char>(character));
         });
}

}  // namespace

void CheckAccounts(std::span<const ClientAccount> accounts,
                   std::vector<FieldFault>* faults) {
  std::set<std::string_view> names;
  std::map<std::string_view, std::string_view> account_of_key;
  for (const ClientAccount& account : accounts) {
    const std::string path = absl::StrCat("account '", account.name, "'");
    if (account.name.empty() || account.name.size() > kMaximumNameBytes) {
      faults->push_back({path, absl::StrCat("must have a name of 1 to ",
                                            kMaximumNameBytes, " bytes")});
    }
    if (!names.insert(account.name).second) {
      faults->push_back({path, "must not have the name of another account"});
    }
    if (account.weight < 1) {
      faults->push_back({path, absl::StrCat("must have a weight of at least 1, "
                                            "but has ",
                                            account.weight)});
    }
    for (size_t i = 0; i < account.keys.size(); ++i) {
      const std::string& key = account.keys[i];
      const std::string key_path = absl::StrCat(path, ", key ", i + 1);
      if (!IsUsableKey(key)) {
        faults->push_back(
            {key_path,
             absl::StrCat("must be 1 to ", kMaximumKeyBytes,
                          " printable ASCII characters without spaces")});
      }
      const auto [holder, is_new] = account_of_key.emplace(key, account.name);
      if (!is_new && holder->second != account.name) {
        faults->push_back(
            {key_path, absl::StrCat("must not be a key of account '",
                                    std::string(holder->second), "'")});
      }
    }
  }
}

}  // namespace bramleyrail
