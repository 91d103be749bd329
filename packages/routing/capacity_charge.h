#ifndef PACKAGES_ROUTING_CAPACITY_CHARGE_H_
#define PACKAGES_ROUTING_CAPACITY_CHARGE_H_

#include <memory>
#include <string>
#include <utility>

#include "packages/routing/target_session.h"

namespace bramleyrail {

// Capacity of one target that was acquired for one request or watch. Released
// on destruction, unless RetainUntilRenewal() was called.
class CapacityCharge {
 public:
  CapacityCharge(std::shared_ptr<TargetSession> session,
                 WorkKind kind,
                 std::string request_id)
      : session_(std::move(session)),
        kind_(kind),
        request_id_(std::move(request_id)) {}
  ~CapacityCharge() {
    if (session_ != nullptr) {
      session_->Release(kind_);
    }
  }
  CapacityCharge(CapacityCharge&&) = default;
  CapacityCharge& operator=(CapacityCharge&&) = delete;
  CapacityCharge(const CapacityCharge&) = delete;
  CapacityCharge& operator=(const CapacityCharge&) = delete;

  TargetSession& session() const { return *session_; }
  std::shared_ptr<TargetSession> shared_session() const { return session_; }
  const std::string& request_id() const { return request_id_; }

  // For a broken connection, after which the target may still run the request:
  // the session releases the capacity once a renewal no longer lists it.
  void RetainUntilRenewal() {
    session_->RetainCharge(kind_, request_id_);
    session_ = nullptr;
  }

 private:
  std::shared_ptr<TargetSession> session_;
  WorkKind kind_;
  std::string request_id_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_CAPACITY_CHARGE_H_
