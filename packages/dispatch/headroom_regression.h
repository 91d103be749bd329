#ifndef PACKAGES_DISPATCH_HEADROOM_REGRESSION_H_
#define PACKAGES_DISPATCH_HEADROOM_REGRESSION_H_

#include <cstddef>
#include <span>
#include <vector>

namespace bramleyrail {

// Recursive least squares estimate of the headroom of one image with a target
// latency: headroom = baseline headroom - sum of (loss x pressure). Headroom is
// target latency over tail latency, 1 at the target. Pressures are the shares
// of a worker's processors that each source uses; sources are numbered from 0.
// Performs no I/O; not thread-safe.
class HeadroomRegression {
 public:
  struct Pressure {
    size_t source = 0;
    double share = 0;  // Share of the worker's processors in use.
  };

  struct Loss {
    double mean = 0;       // Headroom lost at a share of 1; never negative.
    double deviation = 0;  // Standard deviation of the estimate.
  };

  HeadroomRegression();

  // Adds a sample: the mean headroom of `runs` runs of the image under these
  // pressures.
  void Observe(std::span<const Pressure> pressures, double headroom, int runs);

  Loss LossOf(size_t source) const;
  // Headroom without pressure, less one standard deviation of the samples.
  double LowBaselineHeadroom() const;

 private:
  // Index 0 is the baseline headroom; index 1 + source is the loss of a source.
  double& Covariance(size_t row, size_t column) {
    return covariance_[row * size_ + column];
  }
  void GrowTo(size_t size);

  size_t size_ = 0;
  std::vector<double> estimate_;
  std::vector<double> covariance_;  // size_ x size_, in rows.
  double residual_variance_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_HEADROOM_REGRESSION_H_
