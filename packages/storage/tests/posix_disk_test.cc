#include <fcntl.h>
#include <sys/resource.h>

#include <filesystem>

#include "packages/storage/storage.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// Lets the process open no further descriptor while the object exists.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &original_);
    rlimit lowered = original_;
    const FileDescriptor next(open("/", O_RDONLY | O_CLOEXEC));
    lowered.rlim_cur = static_cast<rlim_t>(next.number());
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &original_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit original_{};
};

TEST_GROUP(PosixDisk) {
  void teardown() override {
    std::filesystem::remove_all(folder_);
  }

  const std::string folder_ =
      (std::filesystem::temp_directory_path() / ("disk-" + NewUniqueId()))
          .string();
};

// Guards against a disk that counts as failed while the process only has too
// many connections open, and against a folder that cannot be synced meanwhile.
TEST(PosixDisk, LackOfDescriptorsIsNoStorageFault) {
  const auto disk = PosixDisk::Open(folder_).value();
  auto file = disk->Create("first").value();
  {
    const NoFreeDescriptors limit;
    const auto refused = disk->Create("second");
    CHECK(refused.has_error());
    CHECK(refused.error().kind == ErrorKind::kResourceExhausted);
    CHECK(file->Append(Bytes(10)).has_value());
    CHECK(file->Sync().has_value());
    CHECK(disk->SyncFolder().has_value());
  }
  CHECK(disk->Create("second").has_value());
}

}  // namespace
}  // namespace bramleyrail
