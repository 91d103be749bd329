#ifndef PACKAGES_CONTROL_ORDER_CONFIRMATION_H_
#define PACKAGES_CONTROL_ORDER_CONFIRMATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "packages/control/order_revision.h"
#include "packages/http/http.h"

namespace bramleyrail {

// Has the leader carry out orders that a later order may replace, such as the
// end of an evacuation.
//
// An order may be read, relayed or committed long after its sender has gone on
// to another instance and has replaced it: this process or a connection may
// have been paused. So the leader first tells the revision of the order's
// subject; then the sender must still be waiting; and the leader carries the
// order out only while the subject has that revision. All methods must be
// called on the thread of the loop.
class OrderConfirmation {
 public:
  // Sends a request to the leader. Without a response within the limit, it
  // responds with 503 when the request was not executed, else with 504.
  using SendToLeader =
      std::function<void(HttpRequest, Milliseconds limit, HttpResponder)>;

  OrderConfirmation(IoLoop* loop, SendToLeader send);
  ~OrderConfirmation();

  // Responds with the leader's response to the order, or with 503 when the
  // order was not carried out.
  void Handle(HttpRequest request, Milliseconds limit, HttpResponder respond);

 private:
  struct Order;

  void AskForRevision(const std::shared_ptr<Order>& order);
  void HandleRevision(const std::shared_ptr<Order>& order,
                      HttpResponse response);
  void CarryOut(const std::shared_ptr<Order>& order, int64_t revision);
  void Refuse(const Order& order, std::string_view reason);

  IoLoop* const loop_;
  const SendToLeader send_;
  const std::shared_ptr<bool> alive_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_ORDER_CONFIRMATION_H_
