#include "packages/dispatch/admission_decision.h"

#include <random>

namespace bramleyrail {

UniformRandom MakeUniformRandom() {
  return [engine = std::minstd_rand(std::random_device()())]() mutable {
    return std::uniform_real_distribution<double>()(engine);
  };
}

}  // namespace bramleyrail
