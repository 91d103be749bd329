#ifndef PACKAGES_BRAMLEYRAILD_ROLE_INSTANCE_H_
#define PACKAGES_BRAMLEYRAILD_ROLE_INSTANCE_H_

#include <functional>
#include <memory>

#include "packages/bramleyraild/role_settings.h"
#include "packages/control/control.h"
#include "packages/http/http.h"

namespace bramleyrail {

// The calls of the platform that the instances run on; see platform/.
struct PlatformHooks {
  std::function<HttpHandler(ControlService*)> caller_handler;
  std::function<HttpHandler(ControlService*)> control_handler;
  std::function<bool(const HttpRequest&)> may_be_replaced;
  std::function<WorkerCaller(WorkerClients)> worker_caller;
  std::function<Milliseconds(const HttpRequest&)> caller_patience;
  std::function<HttpHandler(std::function<bool()>)> ready_handler;
};

// One running control instance or gateway.
class RoleInstance {
 public:
  virtual ~RoleInstance() = default;

  // Takes over settings that changed while the process runs.
  virtual void Reload(const RoleSettings& settings) = 0;
  // True while the settings file should be read again although no signal says
  // that it has changed.
  virtual bool NeedsSettings() const { return false; }
  // Finishes what is in progress; returns false when the time ran out first.
  virtual bool Stop() = 0;
};

Result<std::unique_ptr<RoleInstance>> StartControlInstance(
    RoleSettings settings,
    PlatformHooks hooks);
Result<std::unique_ptr<RoleInstance>> StartGatewayInstance(
    RoleSettings settings,
    PlatformHooks hooks);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_ROLE_INSTANCE_H_
