#ifndef PACKAGES_WORKER_REPORT_BATCHER_H_
#define PACKAGES_WORKER_REPORT_BATCHER_H_

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/placement/placement.h"

namespace bramleyrail {

// Collects worker reports and hands them over in batches. A later report of a
// worker replaces an earlier one in the same batch, but keeps its usage.
class ReportBatcher {
 public:
  using Deliver = std::function<void(std::vector<WorkerReport>)>;

  ReportBatcher(Deliver deliver, MonotonicClock clock);
  ~ReportBatcher();

  void Start();
  // Hands over what is left.
  void Stop();
  void Add(WorkerReport report);

 private:
  struct Entry {
    WorkerReport report;
    MonotonicTime added;
  };

  void Run();
  std::vector<WorkerReport> TakeBatch() ABSL_LOCKS_EXCLUDED(mutex_);

  Deliver deliver_;
  MonotonicClock clock_;
  std::thread thread_;
  absl::Mutex mutex_;
  bool running_ ABSL_GUARDED_BY(mutex_) = false;
  absl::flat_hash_map<std::string, Entry> entries_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_REPORT_BATCHER_H_
