#include "packages/bramleyraild/tests/process/test_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace bramleyrail {

namespace {

constexpr size_t kKibibytesInMebibyte = 1024;

std::filesystem::path NewFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "client_memory_XXXXXX")
          .string();
  return mkdtemp(pattern.data()) == nullptr ? std::filesystem::path()
                                            : std::filesystem::path(pattern);
}

pid_t StartProcess(const std::filesystem::path& folder,
                   std::string_view settings) {
  const std::string file = (folder / "settings.json").string();
  std::ofstream(file) << absl::StrReplaceAll(
      absl::string_view(settings.data(), settings.size()),
      {{"DATA_FOLDER", (folder / "data").string()}});
  const std::string argument = "--settings=" + file;
  const std::string log = (folder / "log").string();
  const pid_t pid = fork();
  if (pid == 0) {
    // A test that is stopped leaves no process behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(BRAMLEYRAILD_PROGRAM, BRAMLEYRAILD_PROGRAM, argument.c_str(),
          nullptr);
    _exit(127);
  }
  return pid;
}

}  // namespace

TestProcess::TestProcess(std::string_view settings)
    : folder_(NewFolder()), pid_(StartProcess(folder_, settings)) {}

TestProcess::~TestProcess() {
  if (IsAlive()) {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;  // What is left in a temporary folder does no harm.
  std::filesystem::remove_all(folder_, ignored);
}

bool TestProcess::IsAlive() {
  ended_ = ended_ || waitpid(pid_, nullptr, WNOHANG) != 0;
  return !ended_;
}

size_t TestProcess::PeakMebibytes() const {
  std::ifstream status(absl::StrCat("/proc/", pid_, "/status"));
  for (std::string line; std::getline(status, line);) {
    if (absl::StartsWith(line, "VmHWM:")) {
      return std::strtoull(line.c_str() + sizeof("VmHWM:"), nullptr, 10) /
             kKibibytesInMebibyte;
    }
  }
  return 0;
}

size_t TestProcess::OpenDescriptors() const {
  std::error_code ignored;  // The process has ended, which IsAlive() tells.
  size_t count = 0;
  for (std::filesystem::directory_iterator
           file(absl::StrCat("/proc/", pid_, "/fd"), ignored),
       end;
       file != end; file.increment(ignored)) {
    ++count;
  }
  return count;
}

void TestProcess::Signal(int number) const {
  kill(pid_, number);
}

}  // namespace bramleyrail
