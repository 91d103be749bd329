#ifndef PACKAGES_DISPATCH_SPARE_OUTLOOK_H_
#define PACKAGES_DISPATCH_SPARE_OUTLOOK_H_

#include <cstddef>
#include <vector>

namespace bramleyrail {

// What one more spare run would meet on a worker; computed by DisturbanceModel
// and kept until the worker changes.
struct SpareOutlook {
  struct Served {
    size_t regression = 0;  // Of the image with a target; see the model.
    // That its runs have left in the worse part of the time.
    double headroom = 0;
  };

  std::vector<Served> served;
  // Share of the known images of spare runs that disturb none of them.
  double openness = 1;
  bool misses_target = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_SPARE_OUTLOOK_H_
