#include "packages/target/target.h"

#include <atomic>
#include <memory>

#include "packages/target/fakes/raw_target.h"

// Last, since it redefines `new`.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(1'000)};
constexpr size_t kTooLarge = kMaximumResponseBytes + 1;

std::string Response(const std::string& head, const std::string& body) {
  return "HTTP/1.1 " + head + "\r\n\r\n" + body;
}

TEST_GROUP(TargetClient) {
  std::shared_ptr<TargetSession> session;

  // Sends one request to `target`.
  ForwardedResponse SendRequest(RawTarget * target, TargetClient * client) {
    session = std::make_shared<TargetSession>(
        TargetAnnouncement{
            "t1", "quotes", "127.0.0.1", target->port(), 1, 1, 4, 4, {}},
        kStart);
    CHECK(session->TryAcquire(WorkKind::kRequest, kStart));
    ForwardedRequest request;
    request.request_id = "r1";
    request.service = "quotes";
    request.caller = "c1";
    request.idempotent = true;
    request.remaining = Milliseconds(20'000);
    request.body = "{}";
    return client->Send(CapacityCharge(session, WorkKind::kRequest, "r1"),
                        request);
  }

  ForwardedResponse SendRequest(const std::string& response) {
    RawTarget target(response);
    TargetClient client({.clock = [] { return kStart; }});
    return SendRequest(&target, &client);
  }

  void CheckOutcome(RequestOutcome expected,
                    const ForwardedResponse& response) {
    STRCMP_EQUAL(std::string(RequestOutcomeName(expected)).c_str(),
                 std::string(RequestOutcomeName(response.outcome)).c_str());
  }
};

TEST(TargetClient, CompleteResponsesAreForwarded) {
  const ForwardedResponse sized = SendRequest(
      Response("200 OK\r\nContent-Length: 5\r\nContent-Type: a/b", "hello"));
  CheckOutcome(RequestOutcome::kResponded, sized);
  STRCMP_EQUAL("hello", sized.body.c_str());
  STRCMP_EQUAL("a/b", sized.content_type.c_str());
  LONGS_EQUAL(0, session->slots_in_use());
  const ForwardedResponse chunked = SendRequest(Response(
      "201 OK\r\nTransfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"));
  CheckOutcome(RequestOutcome::kResponded, chunked);
  STRCMP_EQUAL("abc", chunked.body.c_str());
  LONGS_EQUAL(201, chunked.status);
}

// A response that was cut off must not be forwarded as a complete one, and the
// capacity stays charged, since the target may still run the request.
TEST(TargetClient, CutAnswersHaveAnUnknownOutcomeAndStayCharged) {
  for (const std::string& response :
       {Response("200 OK\r\nContent-Length: 6", "hello"),
        Response("200 OK\r\nTransfer-Encoding: chunked", "3\r\nabc\r\n"),
        Response("200 OK", "no declared length"),
        Response("200 OK\r\nContent-Length: 5\r\nContent-Length: 6", "hello"),
        std::string("HTTP/1.1 200 O"), std::string()}) {
    CheckOutcome(RequestOutcome::kOutcomeUnknown, SendRequest(response));
    LONGS_EQUAL(1, session->slots_in_use());
  }
}

TEST(TargetClient, OversizedResponsesHaveTheirOwnOutcome) {
  const std::string body(kTooLarge, 'x');
  CheckOutcome(
      RequestOutcome::kResponseTooLarge,
      SendRequest(Response(
          "200 OK\r\nContent-Length: " + std::to_string(kTooLarge), body)));
}

// A request that ran must not be reported as "not run". Only an error response
// in which the target itself states this counts.
TEST(TargetClient, NotRunNeedsTheStatementOfTheTarget) {
  CheckOutcome(RequestOutcome::kNotSent,
               SendRequest(Response("503 Busy\r\nBramleyrail-Not-Run: true\r\n"
                                    "Content-Length: 0",
                                    "")));
  CheckOutcome(RequestOutcome::kResponded,
               SendRequest(Response("503 Busy\r\nContent-Length: 0", "")));
  CheckOutcome(RequestOutcome::kResponded,
               SendRequest(Response("200 OK\r\nBramleyrail-Not-Run: true\r\n"
                                    "Content-Length: 0",
                                    "")));
}

// After a target has replaced its session, it refuses the old session number.
// Nothing more may be sent under the old session.
TEST(TargetClient, ARefusedSessionNumberClosesTheSession) {
  SendRequest(Response(
      "409 Conflict\r\nBramleyrail-Not-Run: true\r\nContent-Length: 0", ""));
  CHECK(session->closed());
}

// The lease may expire after the target was selected and before the request is
// sent.
TEST(TargetClient, TheLeaseIsCheckedBeforeSending) {
  RawTarget target(Response("200 OK\r\nContent-Length: 0", ""));
  TargetClient client({.clock = [] { return kStart + Milliseconds(2'700); }});
  CheckOutcome(RequestOutcome::kNotSent, SendRequest(&target, &client));
  LONGS_EQUAL(0, target.bytes_received());
  LONGS_EQUAL(0, session->slots_in_use());
}

// A target may leave after it was selected; nothing may be sent to it then.
TEST(TargetClient, NothingIsSentToALeavingTarget) {
  RawTarget target(Response("200 OK\r\nContent-Length: 0", ""));
  TargetClient client({.clock = [this] {
    session->Close();
    return kStart;
  }});
  CheckOutcome(RequestOutcome::kNotSent, SendRequest(&target, &client));
  LONGS_EQUAL(0, target.bytes_received());
}

TEST(TargetClient, ARefusedConnectionIsNotSent) {
  auto target = std::make_unique<RawTarget>("");
  session = std::make_shared<TargetSession>(
      TargetAnnouncement{
          "t1", "quotes", "127.0.0.1", target->port(), 1, 1, 4, 4, {}},
      kStart);
  target.reset();
  CHECK(session->TryAcquire(WorkKind::kRequest, kStart));
  ForwardedRequest request;
  request.service = "quotes";
  request.remaining = Milliseconds(20'000);
  TargetClient client({.clock = [] { return kStart; }});
  CheckOutcome(
      RequestOutcome::kNotSent,
      client.Send(CapacityCharge(session, WorkKind::kRequest, "r1"), request));
  LONGS_EQUAL(0, session->slots_in_use());
}

}  // namespace
}  // namespace bramleyrail
