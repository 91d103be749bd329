#ifndef PACKAGES_STORAGE_POSIX_DISK_H_
#define PACKAGES_STORAGE_POSIX_DISK_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "packages/storage/disk.h"

namespace bramleyrail {

// A folder of the file system, locked against other processes while the object
// exists.
class PosixDisk : public Disk {
 public:
  // Opens the folder, and creates it if it does not exist. kFailedPrecondition
  // when another process uses the folder.
  static Result<std::unique_ptr<PosixDisk>> Open(const std::string& folder);

  Result<std::vector<std::string>> List() override;
  Result<std::vector<std::byte>> Read(std::string_view name) override;
  Result<std::unique_ptr<DiskFile>> Create(std::string_view name) override;
  Result<std::unique_ptr<DiskFile>> OpenForAppend(
      std::string_view name) override;
  Result<void> Truncate(std::string_view name, uint64_t size) override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Remove(std::string_view name) override;
  Result<void> SyncFolder() override;

 private:
  PosixDisk(std::string path, FileDescriptor folder, FileDescriptor lock);

  std::string PathOf(std::string_view name) const;
  Result<std::unique_ptr<DiskFile>> OpenFile(std::string_view name, int flags);

  std::string path_;
  // Stays open, so that a sync of the folder needs no further descriptor.
  FileDescriptor folder_;
  FileDescriptor lock_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_POSIX_DISK_H_
