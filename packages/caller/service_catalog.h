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

// The limits of all declared services, copied out of the replicated state so
// that the request path takes no lock.
class ServiceCatalog {
 public:
  ServiceCatalog();

  // Defaults for a service that is not declared.
  ServiceLimits Find(std::string_view service) const;

  // Copies the limits when the state has changed since the last call.
  void Refresh(const StateAccess& state);

 private:
  using Limits = absl::flat_hash_map<std::string, ServiceLimits>;

  RcuPointer<Limits> limits_;
  int64_t revision_ = -1;  // Of the thread that calls Refresh().
};

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_SERVICE_CATALOG_H_
