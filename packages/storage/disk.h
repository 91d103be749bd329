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

// Whether a storage operation failed for a lack of descriptors or memory. That
// is no fault of the disk, and the operation has changed nothing.
inline bool IsRepeatable(const Result<void>& result) {
  return result.has_error() &&
         result.error().kind == ErrorKind::kResourceExhausted;
}

// A folder of files without subfolders. A failure is a kStorage error, or
// kResourceExhausted when the process lacks descriptors or memory: nothing was
// changed then, and a later call may succeed.
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
