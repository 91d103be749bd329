// Batches of finished runs that become durable, and their acknowledgement.

#include <algorithm>
#include <iterator>
#include <utility>

#include "packages/dispatch/dispatcher.h"

namespace bramleyrail {

namespace {

// Keeps a batch far below the size of the largest command that can be
// proposed, 4 MiB: a finished run takes about 50 bytes.
constexpr int64_t kMaximumFinishedRunsPerBatch = 10'000;

}  // namespace

Dispatcher::FinishedRunBatch Dispatcher::TakeFinishedRuns() {
  FinishedRunBatch batch;
  if (received_through_.empty() && finished_runs_.empty()) {
    return batch;
  }
  batch.number = ++last_batch_;
  std::map<std::string, int64_t>& numbers = unconfirmed_batches_[batch.number];
  if (std::ssize(finished_runs_) <= kMaximumFinishedRunsPerBatch) {
    batch.finished_runs = std::exchange(finished_runs_, {});
    numbers = std::exchange(received_through_, {});
    return batch;
  }
  const auto end = finished_runs_.begin() + kMaximumFinishedRunsPerBatch;
  batch.finished_runs.assign(std::make_move_iterator(finished_runs_.begin()),
                             std::make_move_iterator(end));
  finished_runs_.erase(finished_runs_.begin(), end);
  // This batch acknowledges nothing, but the acknowledgements of the last one
  // wait for it.
  for (const auto& [id, number] : received_through_) {
    numbers[id] = 0;
  }
  return batch;
}

void Dispatcher::MarkFinishedRunsDurable(uint64_t batch) {
  const auto found = unconfirmed_batches_.find(batch);
  if (found == unconfirmed_batches_.end()) {
    return;
  }
  const std::map<std::string, int64_t> numbers = std::move(found->second);
  const auto next = unconfirmed_batches_.erase(found);
  for (const auto& [id, number] : numbers) {
    // An acknowledgement covers all earlier finished runs of the worker, so it
    // waits for the earlier batches, beginning with the last one: that waits
    // for those before it.
    const auto earlier = std::find_if(
        std::make_reverse_iterator(next), unconfirmed_batches_.rend(),
        [&id = id](const auto& item) { return item.second.contains(id); });
    if (earlier != unconfirmed_batches_.rend()) {
      earlier->second[id] = number;
      continue;
    }
    const auto worker = workers_.find(id);
    if (worker == workers_.end()) {
      continue;
    }
    TrackedWorker& tracked = *worker->second;
    tracked.acknowledged_through =
        std::max(tracked.acknowledged_through, number);
    due_workers_.push_back(id);
    tracked.awaiting_durability =
        tracked.acknowledged_through < tracked.received_through;
  }
}

}  // namespace bramleyrail
