#include "record.h"

#include <cstdio>
#include <iostream>
#include <thread>

namespace review {

void SleepFor(Milliseconds duration) {
  std::this_thread::sleep_for(duration);
}

int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string& file) : stream_(file, std::ios::trunc) {}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - opened_).count();
}

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", Now());
  const std::lock_guard lock(mutex_);
  stream_ << time << line << std::endl;
  std::cout << time << line << std::endl;
}

}  // namespace review
