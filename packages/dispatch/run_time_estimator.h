#ifndef PACKAGES_DISPATCH_RUN_TIME_ESTIMATOR_H_
#define PACKAGES_DISPATCH_RUN_TIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

// How long a run takes from its start to its end.
struct RunTimeEstimate {
  Milliseconds low{0};       // One run in ten takes less.
  Milliseconds expected{0};  // The median.
  Milliseconds high{0};      // One run in ten takes longer.
};

// Corrects the submitted durations of tasks by those of finished runs of the
// same queue and image. Starts empty with each leader.
class RunTimeEstimator {
 public:
  static constexpr size_t kMaximumImages = 256;

  // A run has ended with a result. A submitted duration of 0 is unknown.
  void Record(std::string_view queue,
              std::string_view image,
              Milliseconds submitted,
              Milliseconds actual);
  RunTimeEstimate Estimate(std::string_view queue,
                           std::string_view image,
                           Milliseconds submitted) const;
  // Of all queues.
  size_t image_count() const { return image_count_; }

 private:
  // Distribution of the actual durations as multiples of the submitted ones.
  // Later runs have more weight than earlier ones.
  class Ratios {
   public:
    void Add(double ratio);
    bool IsKnown() const;
    // The bounds of the interval that has this share of the weight before it.
    struct Interval {
      double lower = 0;
      double upper = 0;
    };
    Interval IntervalAt(double share) const;
    uint64_t last_use = 0;

   private:
    static constexpr size_t kIntervals = 40;

    std::array<float, kIntervals> weights_{};
    float total_ = 0;
    int64_t runs_ = 0;
  };
  struct Queue {
    Ratios all;
    std::map<std::string, Ratios, std::less<>> images;
  };

  const Ratios* FindRatios(std::string_view queue,
                           std::string_view image) const;
  void RemoveLeastRecentlyUsed();

  std::map<std::string, Queue, std::less<>> queues_;
  size_t image_count_ = 0;
  uint64_t uses_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_RUN_TIME_ESTIMATOR_H_
