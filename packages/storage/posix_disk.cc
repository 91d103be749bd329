#include "packages/storage/posix_disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

#include "packages/storage/posix_disk_file.h"

namespace bramleyrail {

namespace {

constexpr char kLockName[] = "lock";
constexpr mode_t kFolderMode = 0750;
constexpr mode_t kFileMode = 0640;

FileDescriptor OpenFolder(const std::string& path) {
  return FileDescriptor(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}

Result<void> SyncFolderOf(const FileDescriptor& folder,
                          const std::string& path) {
  if (!folder.is_open() || fsync(folder.number()) != 0) {
    return MakePosixError("sync folder", path);
  }
  return Success();
}

}  // namespace

PosixDisk::PosixDisk(std::string path,
                     FileDescriptor folder,
                     FileDescriptor lock)
    : path_(std::move(path)),
      folder_(std::move(folder)),
      lock_(std::move(lock)) {}

Result<std::unique_ptr<PosixDisk>> PosixDisk::Open(const std::string& folder) {
  if (mkdir(folder.c_str(), kFolderMode) == 0) {
    // Without a sync of the parent folder, a crash could lose the new folder.
    const std::string parent = folder + "/..";
    TRY(SyncFolderOf(OpenFolder(parent), parent));
  } else if (errno != EEXIST) {
    return MakePosixError("create folder", folder);
  }
  FileDescriptor opened_folder = OpenFolder(folder);
  if (!opened_folder.is_open()) {
    return MakePosixError("open folder", folder);
  }
  const std::string path = folder + "/" + kLockName;
  FileDescriptor lock(
      open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!lock.is_open()) {
    return MakePosixError("open", path);
  }
  if (flock(lock.number(), LOCK_EX | LOCK_NB) != 0) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     "another process uses the data folder '" + folder + "'",
                     "stop that process, or configure another data folder");
  }
  return std::unique_ptr<PosixDisk>(
      new PosixDisk(folder, std::move(opened_folder), std::move(lock)));
}

Result<std::vector<std::string>> PosixDisk::List() {
  std::error_code error;
  std::vector<std::string> names;
  for (const auto& item : std::filesystem::directory_iterator(path_, error)) {
    std::string name = item.path().filename().string();
    if (name != kLockName) {
      names.push_back(std::move(name));
    }
  }
  if (error) {
    errno = error.value();
    return MakePosixError("list", path_);
  }
  return names;
}

Result<std::vector<std::byte>> PosixDisk::Read(std::string_view name) {
  const std::string path = PathOf(name);
  const FileDescriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (!file.is_open() || fstat(file.number(), &status) != 0) {
    return MakePosixError("open", path);
  }
  std::vector<std::byte> data(static_cast<size_t>(status.st_size));
  size_t position = 0;
  while (position < data.size()) {
    const ssize_t count =
        read(file.number(), data.data() + position, data.size() - position);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return MakePosixError("read", path);
    }
    if (count == 0) {
      break;
    }
    position += static_cast<size_t>(count);
  }
  data.resize(position);
  return data;
}

Result<std::unique_ptr<DiskFile>> PosixDisk::Create(std::string_view name) {
  return OpenFile(name, O_CREAT | O_TRUNC);
}

Result<std::unique_ptr<DiskFile>> PosixDisk::OpenForAppend(
    std::string_view name) {
  return OpenFile(name, 0);
}

Result<std::unique_ptr<DiskFile>> PosixDisk::OpenFile(std::string_view name,
                                                      int flags) {
  std::string path = PathOf(name);
  FileDescriptor file(
      open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, kFileMode));
  if (!file.is_open()) {
    return MakeOpenError(path);
  }
  return std::unique_ptr<DiskFile>(
      std::make_unique<PosixDiskFile>(std::move(path), std::move(file)));
}

Result<void> PosixDisk::Truncate(std::string_view name, uint64_t size) {
  const std::string path = PathOf(name);
  const FileDescriptor file(open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (!file.is_open() ||
      ftruncate(file.number(), static_cast<off_t>(size)) != 0 ||
      fsync(file.number()) != 0) {
    return MakePosixError("truncate", path);
  }
  return Success();
}

Result<void> PosixDisk::Rename(std::string_view from, std::string_view to) {
  if (rename(PathOf(from).c_str(), PathOf(to).c_str()) != 0) {
    return MakePosixError("rename", PathOf(from));
  }
  return Success();
}

Result<void> PosixDisk::Remove(std::string_view name) {
  if (unlink(PathOf(name).c_str()) != 0) {
    return MakePosixError("remove", PathOf(name));
  }
  return Success();
}

Result<void> PosixDisk::SyncFolder() {
  return SyncFolderOf(folder_, path_);
}

std::string PosixDisk::PathOf(std::string_view name) const {
  std::string path = path_;
  path.append("/").append(name);
  return path;
}

}  // namespace bramleyrail
