#ifndef PACKAGES_STORAGE_POSIX_DISK_FILE_H_
#define PACKAGES_STORAGE_POSIX_DISK_FILE_H_

#include <span>
#include <string>
#include <string_view>

#include "packages/storage/disk.h"

namespace bramleyrail {

// Returns a kStorage error with the text of errno for a failed `action` on
// `path`.
Error MakePosixError(std::string_view action, std::string_view path);
// The same for a file that could not be opened. kResourceExhausted when the
// process or the machine lacks descriptors or memory.
Error MakeOpenError(std::string_view path);

class PosixDiskFile : public DiskFile {
 public:
  PosixDiskFile(std::string path, FileDescriptor descriptor);

  Result<void> Append(std::span<const std::byte> data) override;
  Result<void> Sync() override;

 private:
  std::string path_;
  FileDescriptor descriptor_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_POSIX_DISK_FILE_H_
