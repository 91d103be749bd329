#ifndef PACKAGES_STORAGE_FILE_DESCRIPTOR_H_
#define PACKAGES_STORAGE_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace bramleyrail {

// Owns a file descriptor.
class FileDescriptor {
 public:
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return descriptor_; }
  bool is_valid() const { return descriptor_ >= 0; }

 private:
  int descriptor_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_FILE_DESCRIPTOR_H_
