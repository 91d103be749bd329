#ifndef PACKAGES_BRAMLEYRAILD_TESTS_PROCESS_TEST_PROCESS_H_
#define PACKAGES_BRAMLEYRAILD_TESTS_PROCESS_TEST_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>

namespace bramleyrail {

// A bramleyraild process with a folder of its own, which is killed and removed
// at the end.
class TestProcess {
 public:
  explicit TestProcess(std::string_view settings);
  ~TestProcess();
  TestProcess(const TestProcess&) = delete;
  TestProcess& operator=(const TestProcess&) = delete;

  bool IsAlive();
  // The most memory that was resident so far; 0 when the process has ended.
  size_t PeakMebibytes() const;
  size_t OpenDescriptors() const;
  void Signal(int number) const;

 private:
  const std::filesystem::path folder_;
  const pid_t pid_;
  bool ended_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_TESTS_PROCESS_TEST_PROCESS_H_
