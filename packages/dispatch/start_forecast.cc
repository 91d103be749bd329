#include "packages/dispatch/start_forecast.h"

#include <algorithm>

namespace bramleyrail {

namespace {

// Beyond the expected end; covers the report of the end.
constexpr Milliseconds kMinimumOverdueTime{100};

}  // namespace

bool FitTogether(ResourceAmounts left,
                 const ResourceAmounts& right,
                 const ResourceAmounts& capacity) {
  left += right;
  return left.FitsInto(capacity);
}

ResourceAmounts HeldBy(const JobStep& step) {
  ResourceAmounts held = step.size;
  if (step.best_effort) {
    held.processor_millis = 0;
  }
  return held;
}

ResourceAmounts HeldBy(const TrackedRun& run) {
  ResourceAmounts held = run.reserved;
  if (run.step != nullptr && run.step->best_effort) {
    held.processor_millis = 0;
  }
  return held;
}

std::optional<MonotonicTime> ExpectedEnd(const TrackedRun& run,
                                         MonotonicTime now) {
  if (run.step != nullptr && run.step->long_running) {
    return std::nullopt;
  }
  if (now < run.expected_end) {
    return run.expected_end;
  }
  return now + std::max<MonotonicTime::duration>(kMinimumOverdueTime,
                                                 (now - run.started) / 2);
}

ResourceAmounts HeldForLong(const TrackedWorker& worker) {
  ResourceAmounts held;
  for (const auto& [key, run] : worker.runs()) {
    if (run.step != nullptr && run.step->long_running) {
      held += HeldBy(run);
    }
  }
  return held;
}

ResourceAmounts HeldAt(const TrackedWorker& worker,
                       MonotonicTime time,
                       MonotonicTime now) {
  ResourceAmounts held;
  for (const auto& [key, run] : worker.runs()) {
    const auto end = ExpectedEnd(run, now);
    if (!end || *end > time) {
      held += HeldBy(run);
    }
  }
  return held;
}

std::optional<StartForecast::Room> StartForecast::FindRoom(
    const TrackedWorker& worker,
    const ResourceAmounts& needed,
    MonotonicTime now) {
  const ResourceAmounts& capacity = worker.registration().capacity;
  ResourceAmounts held = worker.reserved();
  Room room{.time = now};
  if (FitTogether(held, needed, capacity)) {
    return room;
  }
  ends_.clear();
  for (const auto& [key, run] : worker.runs()) {
    if (const auto end = ExpectedEnd(run, now)) {
      ends_.push_back({*end, HeldBy(run)});
    }
  }
  std::sort(ends_.begin(), ends_.end(), [](const End& left, const End& right) {
    return left.time < right.time;
  });
  for (const End& end : ends_) {
    held -= end.held;
    room.time = end.time;
    ++room.ends;
    if (FitTogether(held, needed, capacity)) {
      return room;
    }
  }
  return std::nullopt;
}

}  // namespace bramleyrail
