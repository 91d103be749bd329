// Recurring jobs of ordinary size are accepted, and the processes that serve
// control then run out of memory, one leader after the other.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "../harness-3/deployment.h"

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kExecutors = 12;
// The largest job of the kind `quote-check`: 4 steps of 36 tasks.
constexpr int kSteps = 4;
constexpr int kWidth = 36;
// Each hour for six weeks, from tomorrow on: nothing is due in this case.
constexpr int kRepetitions = 1'000;
constexpr int64_t kHourMs = 3'600'000;
constexpr int kRecurringJobs = 8;
// Small jobs come for this long besides; they are due at once.
constexpr int64_t kTrafficMs = 20'000;
constexpr int64_t kIntervalMs = 2'000;
constexpr int64_t kSettleMs = 14'000;  // `finish_s`.
// The time for reads at the end; an answer may take as long as the deadline.
constexpr int64_t kReadMs = 20'000;

std::string Job(int repetitions) {
  const int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  Json job = {{"spec", "work_ms=500"}, {"steps", Json::array()}};
  for (int step = 0; step < (repetitions > 0 ? kSteps : 1); ++step) {
    job["steps"].push_back({{"count", repetitions > 0 ? kWidth : 4},
                            {"cpu", 1'000},
                            {"mem_mb", 500},
                            {"estimate_ms", 500}});
    if (step > 0) {
      job["steps"].back()["after"] = {step - 1};
    }
  }
  if (repetitions > 0) {
    job["repetitions"] = repetitions;
    job["first_ms"] = now + 24 * kHourMs;
    job["interval_ms"] = kHourMs;
  }
  return job.dump();
}

int Run(const std::string& repository, const std::string& record_file) {
  Record record(record_file);
  Deployment deployment(repository, kExecutors, &record);
  if (!deployment.Start()) {
    record.Write("the deployment did not start");
    return 2;
  }
  std::vector<std::string> accepted;
  if (deployment.Submit(NewJobId(), Job(0)) != 200) {
    record.Write("the deployment serves nothing");
    return 2;
  }
  if (WithTrouble()) {
    for (int number = 0; number < kRecurringJobs; ++number) {
      const std::string id = NewJobId();
      record.Write("a recurring job, 1000 times, is handed in: " + id);
      if (deployment.Submit(id, Job(kRepetitions), 2) == 200) {
        accepted.push_back(id);
      }
    }
  }
  using Clock = std::chrono::steady_clock;
  const auto traffic_end = Clock::now() + std::chrono::milliseconds(kTrafficMs);
  while (Clock::now() < traffic_end) {
    const std::string id = NewJobId();
    if (deployment.Submit(id, Job(0), 2) == 200) {
      accepted.push_back(id);
    }
    SleepMs(kIntervalMs);
  }
  SleepMs(kSettleMs);
  // Each accepted job has to be known, and a read has to be answered in time.
  const auto read_end = Clock::now() + std::chrono::milliseconds(kReadMs);
  int asked = 0;
  int unanswered = 0;
  int wrong = 0;
  for (const std::string& id : accepted) {
    if (Clock::now() >= read_end) {
      break;
    }
    ++asked;
    std::string state;
    for (int read = 0; read < 2 && state.empty(); ++read) {
      state = deployment.StateOf(id);
    }
    unanswered += state.empty() ? 1 : 0;
    wrong += state == "failed" || state == "cancelled" ? 1 : 0;
  }
  int machines_with_three_ends = 0;
  for (const auto& machine : deployment.core()) {
    machines_with_three_ends += machine->ends_of_its_own() >= 3 ? 1 : 0;
  }
  char text[200];
  std::snprintf(text, sizeof text,
                "accepted %zu, asked for %d, without a state %d, failed or "
                "cancelled %d; "
                "core machines whose processes ended three times %d of 3; "
                "peaks of the core %ld, %ld, %ld MB",
                accepted.size(), asked, unanswered, wrong,
                machines_with_three_ends,
                static_cast<long>(deployment.core()[0]->peak_mb()),
                static_cast<long>(deployment.core()[1]->peak_mb()),
                static_cast<long>(deployment.core()[2]->peak_mb()));
  record.Write(text);
  std::printf("%s\n", text);
  return unanswered > 0 || wrong > 0 || machines_with_three_ends >= 2 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  try {
    return review::Run(argv[1], argv[2]);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "%s\n", exception.what());
    return 2;
  }
}
