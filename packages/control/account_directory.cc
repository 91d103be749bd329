#include "packages/control/account_directory.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <random>

#include "packages/control/control_events.h"

namespace bramleyrail {

AccountDirectory::AccountDirectory() {
  std::random_device random;
  for (unsigned char& byte : secret_) {
    byte = static_cast<unsigned char>(random());
  }
}

// Keys are compared by digests under a secret of the process: a caller cannot
// relate the time of a comparison to the characters of a key.
std::string AccountDirectory::DigestOf(std::string_view key) const {
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  const unsigned char* made =
      HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
           reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           reinterpret_cast<unsigned char*>(digest.data()), &size);
  BRAMLEYRAIL_ASSERT(made != nullptr, "SHA-256 must be available");
  digest.resize(size);
  return digest;
}

void AccountDirectory::Follow(const QueueConfiguration& configuration) {
  if (configuration.version == version_) {
    return;
  }
  version_ = configuration.version;
  accounts_.clear();
  for (const ClientAccount& account : configuration.accounts) {
    for (const std::string& key : account.keys) {
      accounts_.emplace(DigestOf(key), account.name);
    }
  }
  LogEvent(kAccountKeysIndexed, {{"version", version_},
                                 {"accounts", configuration.accounts.size()},
                                 {"keys", accounts_.size()}});
}

const std::string* AccountDirectory::Find(std::string_view key) const {
  const auto found = accounts_.find(DigestOf(key));
  return found == accounts_.end() ? nullptr : &found->second;
}

}  // namespace bramleyrail
