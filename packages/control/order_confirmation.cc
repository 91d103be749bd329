#include "packages/control/order_confirmation.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "packages/control/control_events.h"

namespace bramleyrail {

namespace {

// A sender that has left shows it at the latest this long after its request was
// read: its end of the connection follows the request.
constexpr Milliseconds kSenderCheckTime{50};

constexpr int kStatusNotExecuted = 503;
constexpr int kStatusOutcomeUnknown = 504;

MonotonicTime Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct OrderConfirmation::Order {
  HttpRequest request;
  HttpResponder respond;
  MonotonicTime received;
  MonotonicTime deadline;

  // The request as it is sent to the leader.
  HttpRequest WithRevision(const OrderRevision& revision) const {
    HttpRequest sent = request;
    SetOrderRevision(revision, &sent);
    return sent;
  }
  Milliseconds TimeLeft() const {
    return std::chrono::floor<Milliseconds>(deadline - Now());
  }
};

OrderConfirmation::OrderConfirmation(IoLoop* loop, SendToLeader send)
    : loop_(loop),
      send_(std::move(send)),
      alive_(std::make_shared<bool>(true)) {}

OrderConfirmation::~OrderConfirmation() {
  *alive_ = false;
}

void OrderConfirmation::Handle(HttpRequest request,
                               Milliseconds limit,
                               HttpResponder respond) {
  auto order = std::make_shared<Order>();
  order->request = std::move(request);
  order->respond = std::move(respond);
  order->received = Now();
  order->deadline = order->received + limit;
  AskForRevision(order);
}

void OrderConfirmation::AskForRevision(const std::shared_ptr<Order>& order) {
  if (order->TimeLeft() <= Milliseconds(0)) {
    Refuse(*order, "later orders were carried out");
    return;
  }
  send_(order->WithRevision({.asked = true}), order->TimeLeft(),
        [this, alive = alive_, order](HttpResponse response) {
          if (*alive) {
            HandleRevision(order, std::move(response));
          }
        });
}

void OrderConfirmation::HandleRevision(const std::shared_ptr<Order>& order,
                                       HttpResponse response) {
  if (response.status == kStatusOutcomeUnknown) {
    Refuse(*order, "the leader did not tell the revision");
    return;
  }
  const std::optional<int64_t> revision = RevisionOf(response);
  if (!revision) {
    // An error, or the response of an instance of an earlier version, which has
    // carried the order out.
    order->respond(std::move(response));
    return;
  }
  const Milliseconds pause = std::max(
      Milliseconds(0), std::chrono::ceil<Milliseconds>(
                           order->received + kSenderCheckTime - Now()));
  loop_->RunAfter(pause, [this, alive = alive_, order, revision] {
    if (!*alive) {
      return;
    }
    if (order->request.sender_waits && !order->request.sender_waits()) {
      Refuse(*order, "its sender has left");
      return;
    }
    if (order->TimeLeft() <= Milliseconds(0)) {
      Refuse(*order, "no time is left");
      return;
    }
    CarryOut(order, *revision);
  });
}

void OrderConfirmation::CarryOut(const std::shared_ptr<Order>& order,
                                 int64_t revision) {
  send_(order->WithRevision({.expected = revision}), order->TimeLeft(),
        [this, alive = alive_, order](HttpResponse response) {
          if (!*alive) {
            return;
          }
          if (response.status == kStatusSuperseded) {
            AskForRevision(order);
            return;
          }
          order->respond(std::move(response));
        });
}

void OrderConfirmation::Refuse(const Order& order, std::string_view reason) {
  LogEvent(kOrderNotConfirmed, {{"method", order.request.method},
                                {"target", order.request.target},
                                {"reason", reason}});
  order.respond(
      {.status = kStatusNotExecuted,
       .headers = {{"Retry-After", "1"}},
       .body = R"({"error":"the order was not carried out; repeat it"})"});
}

}  // namespace bramleyrail
