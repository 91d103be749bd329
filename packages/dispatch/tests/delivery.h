#ifndef PACKAGES_DISPATCH_TESTS_DELIVERY_H_
#define PACKAGES_DISPATCH_TESTS_DELIVERY_H_

#include "packages/dispatch/dispatch.h"

namespace bramleyrail {

// What becomes of an order. A late order is executed this long after it was
// sent, and the response to it is lost.
struct Delivery {
  enum class Kind { kInTime, kLost, kLate };
  Kind kind = Kind::kInTime;
  Milliseconds delay{0};
};

inline Delivery Lost() {
  return {Delivery::Kind::kLost, Milliseconds(0)};
}
inline Delivery Late(Milliseconds delay) {
  return {Delivery::Kind::kLate, delay};
}

}  // namespace bramleyrail

#endif  // PACKAGES_DISPATCH_TESTS_DELIVERY_H_
