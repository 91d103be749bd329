#include "packages/storage/posix_disk_file.h"

#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace bramleyrail {

Error MakeOpenError(std::string_view path) {
  const int code = errno;
  if (code != EMFILE && code != ENFILE && code != ENOMEM) {
    return MakePosixError("open", path);
  }
  std::string message = "cannot open '";
  message.append(path).append("': ");
  message += std::generic_category().message(code);
  return MakeError(ErrorKind::kResourceExhausted, std::move(message),
                   "raise the limit of descriptors or memory of the process; "
                   "the operation is tried again");
}

Error MakePosixError(std::string_view action, std::string_view path) {
  const int code = errno;
  std::string message = "cannot ";
  message.append(action).append(" '").append(path).append("': ");
  message += std::generic_category().message(code);
  const char* remedy =
      code == ENOSPC || code == EDQUOT
          ? "free space on the disk; a running instance then continues"
          : "check the disk and the permissions of the data folder; a running "
            "instance then continues";
  return MakeError(ErrorKind::kStorage, std::move(message), remedy);
}

PosixDiskFile::PosixDiskFile(std::string path, FileDescriptor descriptor)
    : path_(std::move(path)), descriptor_(std::move(descriptor)) {}

Result<void> PosixDiskFile::Append(std::span<const std::byte> data) {
  while (!data.empty()) {
    const ssize_t written =
        write(descriptor_.number(), data.data(), data.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return MakePosixError("write", path_);
    }
    data = data.subspan(static_cast<size_t>(written));
  }
  return Success();
}

Result<void> PosixDiskFile::Sync() {
  if (fdatasync(descriptor_.number()) != 0) {
    return MakePosixError("sync", path_);
  }
  return Success();
}

}  // namespace bramleyrail
