#ifndef PACKAGES_CONTROL_ACCOUNT_DIRECTORY_H_
#define PACKAGES_CONTROL_ACCOUNT_DIRECTORY_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "packages/queue/queue.h"

namespace bramleyrail {

// Finds the account that holds a key. The time of a lookup depends on the
// length of the key only, not on how much of it is right.
class AccountDirectory {
 public:
  AccountDirectory();

  // Rebuilds the index if it was made of another version.
  void Follow(const QueueConfiguration& configuration);
  // Returns the name of the account, or nullptr.
  const std::string* Find(std::string_view key) const;

 private:
  std::string DigestOf(std::string_view key) const;

  std::array<unsigned char, 32> secret_;
  int64_t version_ = 0;
  absl::flat_hash_map<std::string, std::string> accounts_;  // By digest.
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_ACCOUNT_DIRECTORY_H_
