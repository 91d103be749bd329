#include "packages/control/order_confirmation.h"

#include <deque>
#include <vector>

// CppUTest redefines operator new, so its header follows the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kLimit{400};

// An order whose sender may leave, and a leader that returns prepared responses
// and repeats the last one.
class ConfirmedOrder {
 public:
  explicit ConfirmedOrder(std::deque<HttpResponse> responses)
      : responses_(std::move(responses)), loop_(IoLoop::Create()) {}

  HttpResponse Run() {
    OrderConfirmation confirmation(
        loop_.get(),
        [this](HttpRequest request, Milliseconds, HttpResponder respond) {
          sent.push_back(OrderRevisionOf(request));
          sender_waits = sender_waits && sent.size() != sender_leaves_after;
          const HttpResponse response = responses_.front();
          if (responses_.size() > 1) {
            responses_.pop_front();
          }
          loop_->RunAfter(Milliseconds(5),
                          [respond, response] { respond(response); });
        });
    HttpResponse result;
    HttpRequest request{.method = "DELETE", .target = "/evacuation/east"};
    request.sender_waits = [this] { return sender_waits; };
    confirmation.Handle(std::move(request), kLimit, [&](HttpResponse response) {
      result = std::move(response);
      loop_->Stop();
    });
    loop_->Run();
    return result;
  }

  std::vector<OrderRevision> sent;
  bool sender_waits = true;
  size_t sender_leaves_after = 0;  // Requests to the leader; 0: never.

 private:
  std::deque<HttpResponse> responses_;
  const std::unique_ptr<IoLoop> loop_;
};

TEST_GROUP(OrderConfirmation){};

// Fails when an order is not carried out under the revision that the leader has
// told.
TEST(OrderConfirmation, OrderIsCarriedOutUnderItsRevision) {
  ConfirmedOrder order({MakeRevisionResponse(7), {.status = 200}});
  LONGS_EQUAL(200, order.Run().status);
  LONGS_EQUAL(2, order.sent.size());
  CHECK(order.sent[0].asked);
  CHECK(!order.sent[1].asked);
  LONGS_EQUAL(7, order.sent[1].expected.value());
}

// EVAC: an order was carried out although its sender had left and had replaced
// it. Fails when a sender that has left is not noticed before the order is
// sent.
TEST(OrderConfirmation, OrderOfASenderThatHasLeftIsDropped) {
  ConfirmedOrder order({MakeRevisionResponse(7), {.status = 200}});
  order.sender_leaves_after = 1;
  LONGS_EQUAL(503, order.Run().status);
  LONGS_EQUAL(1, order.sent.size());
}

// Fails when an order that met another one is refused although its sender
// waits.
TEST(OrderConfirmation, SupersededOrderIsTriedAgain) {
  ConfirmedOrder order({MakeRevisionResponse(7),
                        {.status = kStatusSuperseded},
                        MakeRevisionResponse(8),
                        {.status = 200}});
  LONGS_EQUAL(200, order.Run().status);
  LONGS_EQUAL(8, order.sent.back().expected.value());
}

// Fails when the status between instances reaches the sender, or an order that
// cannot be confirmed in time is reported as carried out.
TEST(OrderConfirmation, OrderWithoutARevisionIsReportedAsNotCarriedOut) {
  ConfirmedOrder unknown({HttpResponse{.status = 504}});
  LONGS_EQUAL(503, unknown.Run().status);
  LONGS_EQUAL(1, unknown.sent.size());
  std::deque<HttpResponse> responses;
  for (int round = 0; round < 100; ++round) {
    responses.push_back(MakeRevisionResponse(round));
    responses.push_back({.status = kStatusSuperseded});
  }
  ConfirmedOrder superseded(std::move(responses));
  LONGS_EQUAL(503, superseded.Run().status);
}

}  // namespace
}  // namespace bramleyrail
