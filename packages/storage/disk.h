#ifndef PACKAGES_STORAGE_DISK_H_
#define PACKAGES_STORAGE_DISK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// A file that is open for appending. Its content is durable after Sync(), and
// its name after Disk::SyncFolder().
class DiskFile {
 public:
  virtual ~DiskFile() = default;
  virtual Result<void> Append(std::span<const std::byte> data) = 0;
  virtual Result<void> Sync() = 0;
};

// A folder of files without subfolders. Every failure is a kStorage error.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual Result<std::vector<std::string>> List() = 0;
  virtual Result<std::vector<std::byte>> Read(std::string_view name) = 0;
  // Creates an empty file, or truncates an existing one to zero bytes.
  virtual Result<std::unique_ptr<DiskFile>> Create(std::string_view name) = 0;
  virtual Result<std::unique_ptr<DiskFile>> OpenForAppend(
      std::string_view name) = 0;
  // Truncates a file to `size` bytes and syncs it.
  virtual Result<void> Truncate(std::string_view name, uint64_t size) = 0;
  virtual Result<void> Rename(std::string_view from, std::string_view to) = 0;
  virtual Result<void> Remove(std::string_view name) = 0;
  // Makes the creation, renaming and removal of files durable.
  virtual Result<void> SyncFolder() = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_DISK_H_
