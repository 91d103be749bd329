// The record of a case: what was sent, answered and run.
#ifndef REVIEW_HARNESS_3_RECORD_H_
#define REVIEW_HARNESS_3_RECORD_H_

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& file)
      : file_(std::fopen(file.c_str(), "w")),
        start_(std::chrono::steady_clock::now()) {}
  ~Record() {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start_)
        .count();
  }
  void Write(const std::string& line) {
    std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%9.3f %s\n", Seconds(), line.c_str());
      std::fflush(file_);
    }
  }

 private:
  std::FILE* const file_;
  const std::chrono::steady_clock::time_point start_;
  std::mutex mutex_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_RECORD_H_
