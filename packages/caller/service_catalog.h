#ifndef PACKAGES_CALLER_SERVICE_CATALOG_H_
#define PACKAGES_CALLER_SERVICE_CATALOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "packages/base/base.h"
#include "packages/caller/caller_request.h"
#include "packages/state/state.h"

namespace bramleyrail {

struct ServiceLimits {
  int64_t concurrent_requests = 1024;
  int64_t concurrent_requests_for_caller = 256;
  Milliseconds default_timeout = kDefaultTimeout;
};

// A copy of the limits of all declared services in the replicated state, which
// the request path can read without a lock.
class ServiceCatalog {
 public:
  ServiceCatalog();

  // Returns the limits of a service, or the defaults if it is not declared.
  ServiceLimits Find(std::string_view service) const;

  // Copies the limits if the state has changed since the last call. Only one
  // thread may call this.
  void Refresh(const StateAccess& state);

 private:
  using Limits = absl::flat_hash_map<std::string, ServiceLimits>;

  RcuPointer<Limits> limits_;
  // Revision of the copied state. Only the thread that calls Refresh() uses it.
  int64_t revision_ = -1;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_SERVICE_CATALOG_H_
