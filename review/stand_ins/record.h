#ifndef REVIEW_STAND_INS_RECORD_H_
#define REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

void SleepFor(Milliseconds duration);
int64_t UnixMilliseconds();

// Writes what was sent, answered and run to a file, one line each, with the
// seconds since the record was opened.
class Record {
 public:
  explicit Record(const std::string& file);

  void Write(const std::string& line);
  // Seconds since the record was opened.
  double Now() const;

 private:
  std::mutex mutex_;
  std::ofstream stream_;
  const Clock::time_point opened_ = Clock::now();
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RECORD_H_
