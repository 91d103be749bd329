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

// A folder in memory that distinguishes synced from unsynced file content and
// file names.
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

  // Returns the folder as it is after a crash. File names are as at the last
  // SyncFolder(). Of the unsynced content of each file, the first
  // `surviving_bytes` remain; with `garbled`, the first of them is corrupted.
  std::shared_ptr<FakeDisk> Crash(size_t surviving_bytes, bool garbled) const;

  // Number of calls with changes or syncs that still succeed; nullopt: no
  // limit. All later ones fail, as on a full or broken disk.
  std::optional<int> remaining_successful_calls;
  // Free space in bytes; nullopt: no limit. A write that exceeds it is done in
  // part and fails.
  std::optional<size_t> free_bytes;
  // While false, no file can be created, as in a process without free
  // descriptors.
  bool has_free_descriptors = true;
  int syncs = 0;
  uint64_t bytes_read = 0;

  // Returns the content of a file, for tests that damage it; nullptr if the
  // file does not exist.
  std::vector<std::byte>* Content(std::string_view name);

 private:
  friend class FakeDiskFile;

  Result<void> Write(File* file, std::span<const std::byte> data);
  Result<void> Sync(File* file);
  Result<void> ConsumeSuccessfulCall();

  using Folder = std::map<std::string, std::shared_ptr<File>, std::less<>>;
  Folder folder_;
  Folder synced_folder_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_FAKES_FAKE_DISK_H_
