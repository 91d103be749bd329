#include "packages/dispatch/short_work_need.h"

#include <algorithm>

namespace bramleyrail {

void ShortWorkNeed::Add(const ShortWorkNeed& other) {
  if (other.empty()) {
    return;
  }
  const auto total =
      static_cast<double>(peak_processor_millis + other.peak_processor_millis);
  const double own_share = static_cast<double>(peak_processor_millis) / total;
  for (Group& group : groups) {
    group.share *= own_share;
  }
  for (Group group : other.groups) {
    group.share *= 1 - own_share;
    groups.push_back(group);
  }
  std::stable_sort(
      groups.begin(), groups.end(), [](const Group& left, const Group& right) {
        return left.size.processor_millis > right.size.processor_millis;
      });
  mean_processor_millis += other.mean_processor_millis;
  peak_processor_millis += other.peak_processor_millis;
}

double ShortWorkNeed::UsableProcessorMillis(int64_t free_millis) const {
  double usable = 0;
  for (const Group& group : groups) {
    const int64_t size = std::max<int64_t>(group.size.processor_millis, 1);
    const int64_t fitting = std::max<int64_t>(free_millis, 0) / size;
    usable += group.share * static_cast<double>(fitting * size);
  }
  return usable;
}

}  // namespace bramleyrail
