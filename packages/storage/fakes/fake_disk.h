#ifndef PACKAGES_STORAGE_FAKES_FAKE_DISK_H_
#define PACKAGES_STORAGE_FAKES_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/storage/disk.h"

namespace bramleyrail {

// A folder in memory that tells synced from unsynced content and names.
class FakeDisk : public Disk, public std::enable_shared_from_this<FakeDisk> {
 public:
  struct File {
    std::vector<std::byte> content;
    size_t synced_bytes = 0;
  };

  Result<std::vector<std::string>> List() override;
  Result<std::vector<std::byte>> Read(std::string_view name) override;
  Result<std::unique_ptr<DiskFile>> Create(std::string_view name) override;
  Result<std::unique_ptr<DiskFile>> OpenForAppend(
      std::string_view name) override;
  Result<void> Truncate(std::string_view name, uint64_t size) override;
  Result<void> Rename(std::string_view from, std::string_view to) override;
  Result<void> Remove(std::string_view name) override;
  Result<void> SyncFolder() override;

  // Returns the folder as it is after a crash: names that were not synced are
  // as before. Of unsynced content, the first `surviving_bytes` of each file
  // remain, and with `garbled` some of them are changed.
  std::shared_ptr<FakeDisk> Crash(size_t surviving_bytes, bool garbled) const;

  // Calls that write or sync and that still succeed; nullopt for no limit.
  // Afterwards each of them fails, as on a full or broken disk.
  std::optional<int> successful_calls;
  // Bytes that still fit; a write beyond that is done in part and fails.
  std::optional<size_t> free_bytes;
  int syncs = 0;
  uint64_t bytes_read = 0;

  // For tests that damage a file.
  std::vector<std::byte>* Content(std::string_view name);

 private:
  friend class FakeDiskFile;

  Result<void> Write(File* file, std::span<const std::byte> data);
  Result<void> Sync(File* file);
  Result<void> CountCall();

  using Folder = std::map<std::string, std::shared_ptr<File>, std::less<>>;
  Folder folder_;
  Folder synced_folder_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_FAKES_FAKE_DISK_H_
