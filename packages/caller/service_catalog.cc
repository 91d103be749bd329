#include "packages/caller/service_catalog.h"

#include <memory>
#include <utility>
#include <variant>

namespace bramleyrail {

ServiceCatalog::ServiceCatalog() : limits_(std::make_unique<const Limits>()) {}

ServiceLimits ServiceCatalog::Find(std::string_view service) const {
  const RcuReadSection section;
  const Limits& limits = limits_.Read(section);
  const auto found =
      limits.find(absl::string_view(service.data(), service.size()));
  return found == limits.end() ? ServiceLimits() : found->second;
}

void ServiceCatalog::Refresh(const StateAccess& state) {
  std::unique_ptr<Limits> limits;
  state.read([this, &limits](const ClusterState& cluster) {
    if (cluster.revision() == revision_) {
      return;
    }
    revision_ = cluster.revision();
    limits = std::make_unique<Limits>();
    for (const auto& [name, resource] :
         cluster.Resources(ResourceKind::kService)) {
      const auto& spec = std::get<ServiceSpec>(resource.spec);
      limits->emplace(name,
                      ServiceLimits{spec.concurrent_requests,
                                    spec.concurrent_requests_for_caller,
                                    Milliseconds(spec.default_timeout_ms)});
    }
  });
  if (limits != nullptr) {
    limits_.Publish(std::move(limits));
  }
}

}  // namespace bramleyrail
