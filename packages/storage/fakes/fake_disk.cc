#include "packages/storage/fakes/fake_disk.h"

#include <algorithm>
#include <utility>

namespace bramleyrail {

namespace {

Error MakeFakeError(const char* message) {
  return MakeError(ErrorKind::kStorage, message,
                   "check the failures that the test has set on the fake disk");
}

}  // namespace

class FakeDiskFile : public DiskFile {
 public:
  FakeDiskFile(std::shared_ptr<FakeDisk> disk,
               std::shared_ptr<FakeDisk::File> file)
      : disk_(std::move(disk)), file_(std::move(file)) {}

  Result<void> Append(std::span<const std::byte> data) override {
    return disk_->Write(file_.get(), data);
  }
  Result<void> Sync() override { return disk_->Sync(file_.get()); }

 private:
  std::shared_ptr<FakeDisk> disk_;
  std::shared_ptr<FakeDisk::File> file_;
};

Result<void> FakeDisk::ConsumeSuccessfulCall() {
  if (!remaining_successful_calls) {
    return Success();
  }
  if (*remaining_successful_calls == 0) {
    return MakeFakeError("the fake disk has no successful calls left");
  }
  --*remaining_successful_calls;
  return Success();
}

Result<void> FakeDisk::Write(File* file, std::span<const std::byte> data) {
  TRY(ConsumeSuccessfulCall());
  const size_t fits = std::min(free_bytes.value_or(data.size()), data.size());
  file->content.insert(file->content.end(), data.begin(),
                       data.begin() + static_cast<ptrdiff_t>(fits));
  if (free_bytes) {
    *free_bytes -= fits;
  }
  if (fits < data.size()) {
    return MakeFakeError("the fake disk is full");
  }
  return Success();
}

Result<void> FakeDisk::Sync(File* file) {
  TRY(ConsumeSuccessfulCall());
  ++syncs;
  file->synced_bytes = file->content.size();
  return Success();
}

Result<std::vector<std::string>> FakeDisk::List() {
  std::vector<std::string> names;
  for (const auto& [name, file] : folder_) {
    names.push_back(name);
  }
  return names;
}

Result<std::vector<std::byte>> FakeDisk::Read(std::string_view name) {
  const auto position = folder_.find(name);
  if (position == folder_.end()) {
    return MakeFakeError("no such file");
  }
  bytes_read += position->second->content.size();
  return position->second->content;
}

Result<std::unique_ptr<DiskFile>> FakeDisk::Create(std::string_view name) {
  if (!has_free_descriptors) {
    return MakeError(ErrorKind::kResourceExhausted,
                     "the fake disk has no free descriptors",
                     "set has_free_descriptors");
  }
  TRY(ConsumeSuccessfulCall());
  auto file = std::make_shared<File>();
  folder_[std::string(name)] = file;
  return std::unique_ptr<DiskFile>(
      std::make_unique<FakeDiskFile>(shared_from_this(), std::move(file)));
}

Result<std::unique_ptr<DiskFile>> FakeDisk::OpenForAppend(
    std::string_view name) {
  const auto position = folder_.find(name);
  if (position == folder_.end()) {
    return MakeFakeError("no such file");
  }
  return std::unique_ptr<DiskFile>(
      std::make_unique<FakeDiskFile>(shared_from_this(), position->second));
}

Result<void> FakeDisk::Truncate(std::string_view name, uint64_t size) {
  TRY(ConsumeSuccessfulCall());
  File& file = *folder_.find(name)->second;
  file.content.resize(size);
  file.synced_bytes = size;
  return Success();
}

Result<void> FakeDisk::Rename(std::string_view from, std::string_view to) {
  TRY(ConsumeSuccessfulCall());
  const auto position = folder_.find(from);
  if (position == folder_.end()) {
    return MakeFakeError("no such file");
  }
  folder_[std::string(to)] = position->second;
  folder_.erase(position);
  return Success();
}

Result<void> FakeDisk::Remove(std::string_view name) {
  TRY(ConsumeSuccessfulCall());
  const auto position = folder_.find(name);
  if (position == folder_.end()) {
    return MakeFakeError("no such file");
  }
  folder_.erase(position);
  return Success();
}

Result<void> FakeDisk::SyncFolder() {
  TRY(ConsumeSuccessfulCall());
  synced_folder_ = folder_;
  return Success();
}

std::shared_ptr<FakeDisk> FakeDisk::Crash(size_t surviving_bytes,
                                          bool garbled) const {
  auto disk = std::make_shared<FakeDisk>();
  for (const auto& [name, file] : synced_folder_) {
    auto copy = std::make_shared<File>(*file);
    copy->content.resize(
        std::min(copy->content.size(), copy->synced_bytes + surviving_bytes));
    if (garbled && copy->content.size() > copy->synced_bytes) {
      copy->content[copy->synced_bytes] ^= std::byte{0xff};
    }
    copy->synced_bytes = copy->content.size();
    disk->folder_[name] = std::move(copy);
  }
  disk->synced_folder_ = disk->folder_;
  return disk;
}

std::vector<std::byte>* FakeDisk::Content(std::string_view name) {
  const auto position = folder_.find(name);
  return position == folder_.end() ? nullptr : &position->second->content;
}

}  // namespace bramleyrail
