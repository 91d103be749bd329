#ifndef PACKAGES_OPERATOR_LIVE_TARGET_H_
#define PACKAGES_OPERATOR_LIVE_TARGET_H_

#include <cstdint>
#include <string>

namespace bramleyrail {

// One target session as the instances know it.
struct LiveTarget {
  std::string name;
  std::string service;
  std::string failure_domain;
  std::string address;
  std::string instance;  // The owner of the session.
  std::string state;     // ready, leaving, drained, ejected or expired.
  int64_t slots = 0;
  int64_t slots_in_use = 0;
  int64_t connections = 0;
  int64_t connections_in_use = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_LIVE_TARGET_H_
