#ifndef PACKAGES_BASE_FILE_DESCRIPTOR_H_
#define PACKAGES_BASE_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace bramleyrail {

// Owns an open file descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int number) : number_(number) {}
  ~FileDescriptor() { Close(); }
  FileDescriptor(FileDescriptor&& other) noexcept
      : number_(std::exchange(other.number_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Close();
      number_ = std::exchange(other.number_, -1);
    }
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int number() const { return number_; }
  bool is_open() const { return number_ >= 0; }

 private:
  void Close() {
    if (number_ >= 0) {
      close(number_);
      number_ = -1;
    }
  }

  int number_ = -1;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_FILE_DESCRIPTOR_H_
