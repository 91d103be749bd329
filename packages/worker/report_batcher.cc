#include "packages/worker/report_batcher.h"

#include <iterator>
#include <utility>

#include "absl/time/time.h"

namespace bramleyrail {

namespace {

// One controller step; collecting for longer would delay reports.
constexpr Milliseconds kBatchTime{50};

// The controller relies on reports that arrive late being of the current boot
// of a worker (see WorkerMonitor), so a report that could not be handed over
// in time is dropped. The worker repeats it.
constexpr Milliseconds kMaximumAge{1000};

// Usage of one worker that a single batch keeps.
constexpr size_t kMaximumUsage = 256;

}  // namespace

ReportBatcher::ReportBatcher(Deliver deliver, MonotonicClock clock)
    : deliver_(std::move(deliver)), clock_(std::move(clock)) {}

ReportBatcher::~ReportBatcher() {
  Stop();
}

void ReportBatcher::Start() {
  absl::MutexLock lock(&mutex_);
  running_ = true;
  thread_ = std::thread([this] { Run(); });
}

void ReportBatcher::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    running_ = false;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ReportBatcher::Add(WorkerReport report) {
  const MonotonicTime now = clock_();
  absl::MutexLock lock(&mutex_);
  Entry& entry = entries_[report.worker];
  std::vector<AttemptUsage>& earlier = entry.report.usage;
  if (entry.report.boot_id == report.boot_id &&
      earlier.size() + report.usage.size() <= kMaximumUsage) {
    report.usage.insert(report.usage.end(),
                        std::make_move_iterator(earlier.begin()),
                        std::make_move_iterator(earlier.end()));
  }
  entry = {std::move(report), now};
}

std::vector<WorkerReport> ReportBatcher::TakeBatch() {
  const MonotonicTime now = clock_();
  std::vector<WorkerReport> batch;
  absl::MutexLock lock(&mutex_);
  for (auto& [worker, entry] : entries_) {
    if (now - entry.added <= kMaximumAge) {
      batch.push_back(std::move(entry.report));
    }
  }
  entries_.clear();
  return batch;
}

void ReportBatcher::Run() {
  bool running = true;
  while (running) {
    {
      absl::MutexLock lock(&mutex_);
      const auto stopped = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return !running_;
      };
      running = !mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                         absl::FromChrono(kBatchTime));
    }
    std::vector<WorkerReport> batch = TakeBatch();
    if (!batch.empty()) {
      deliver_(std::move(batch));
    }
  }
}

}  // namespace bramleyrail
