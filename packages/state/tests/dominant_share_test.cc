#include "packages/state/dominant_share.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(DominantShare){};

// Fails when another resource than the largest share counts, when a resource
// that no worker has divides by zero, or when a weight of 0 does.
TEST(DominantShare, LargestShareCounts) {
  const ResourceAmounts capacity{10'000, 1'000, 0};
  DOUBLES_EQUAL(0.5, DominantShare({1'000, 500, 0}, capacity), 1e-9);
  DOUBLES_EQUAL(0.3, DominantShare({3'000, 100, 5}, capacity), 1e-9);
  DOUBLES_EQUAL(0.1, WeightedDominantShare({3'000, 0, 0}, capacity, 3), 1e-9);
  DOUBLES_EQUAL(0.3, WeightedDominantShare({3'000, 0, 0}, capacity, 0), 1e-9);
  DOUBLES_EQUAL(0, DominantShare({3'000, 0, 0}, {}), 1e-9);
}

}  // namespace
}  // namespace bramleyrail
