#ifndef PACKAGES_DISPATCH_BEST_EFFORT_ESTIMATE_H_
#define PACKAGES_DISPATCH_BEST_EFFORT_ESTIMATE_H_

#include <cstddef>
#include <vector>

namespace bramleyrail {

// State of a worker that decides whether one more best-effort run fits beside
// its latency-sensitive runs. Computed by LatencyInterferenceModel and cached
// until the worker changes.
struct BestEffortEstimate {
  // An image of latency-sensitive runs on the worker.
  struct ServedImage {
    size_t regression_index = 0;  // In LatencyInterferenceModel.
    // Expected headroom, less one standard deviation.
    double headroom = 0;
  };

  std::vector<ServedImage> served_images;
  // Share of the known best-effort images that interfere with no served image.
  double compatible_image_share = 1;
  bool is_any_over_target = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_BEST_EFFORT_ESTIMATE_H_
