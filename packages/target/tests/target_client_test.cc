#include "packages/target/target.h"

#include <atomic>
#include <memory>

#include "packages/target/fakes/raw_target.h"

// Last, since it redefines `new`.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(1'000)};
constexpr size_t kTooLarge = kMaximumAnswerBytes + 1;

std::string Answer(const std::string& head, const std::string& body) {
  return "HTTP/1.1 " + head + "\r\n\r\n" + body;
}

TEST_GROUP(TargetClient) {
  std::shared_ptr<TargetSession> session;

  // Runs one request on a target that gives `answer`.
  ForwardedAnswer Run(RawTarget * target, TargetClient * client) {
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

  ForwardedAnswer Run(const std::string& answer) {
    RawTarget target(answer);
    TargetClient client({.clock = [] { return kStart; }});
    return Run(&target, &client);
  }

  void CheckOutcome(RequestOutcome expected, const ForwardedAnswer& answer) {
    STRCMP_EQUAL(std::string(RequestOutcomeName(expected)).c_str(),
                 std::string(RequestOutcomeName(answer.outcome)).c_str());
  }
};

TEST(TargetClient, WholeAnswersArePassedOn) {
  const ForwardedAnswer sized =
      Run(Answer("200 OK\r\nContent-Length: 5\r\nContent-Type: a/b", "hello"));
  CheckOutcome(RequestOutcome::kAnswered, sized);
  STRCMP_EQUAL("hello", sized.body.c_str());
  STRCMP_EQUAL("a/b", sized.content_type.c_str());
  LONGS_EQUAL(0, session->slots_in_use());
  const ForwardedAnswer chunked = Run(
      Answer("201 OK\r\nTransfer-Encoding: chunked", "3\r\nabc\r\n0\r\n\r\n"));
  CheckOutcome(RequestOutcome::kAnswered, chunked);
  STRCMP_EQUAL("abc", chunked.body.c_str());
  LONGS_EQUAL(201, chunked.status);
}

// Guards against passing on a part of an answer as the whole, and against
// freeing the capacity while the target may still work.
TEST(TargetClient, CutAnswersHaveAnUnknownOutcomeAndStayCharged) {
  for (const std::string& answer :
       {Answer("200 OK\r\nContent-Length: 6", "hello"),
        Answer("200 OK\r\nTransfer-Encoding: chunked", "3\r\nabc\r\n"),
        Answer("200 OK", "no declared length"),
        Answer("200 OK\r\nContent-Length: 5\r\nContent-Length: 6", "hello"),
        std::string("HTTP/1.1 200 O"), std::string()}) {
    CheckOutcome(RequestOutcome::kOutcomeUnknown, Run(answer));
    LONGS_EQUAL(1, session->slots_in_use());
  }
}

TEST(TargetClient, OversizedAnswersGiveATypedOutcome) {
  const std::string body(kTooLarge, 'x');
  CheckOutcome(
      RequestOutcome::kAnswerTooLarge,
      Run(Answer("200 OK\r\nContent-Length: " + std::to_string(kTooLarge),
                 body)));
}

// Guards against "not run" for a request that ran: only the target's own
// statement on an error counts.
TEST(TargetClient, NotRunNeedsTheStatementOfTheTarget) {
  CheckOutcome(RequestOutcome::kNotSent,
               Run(Answer("503 Busy\r\nBramleyrail-Not-Run: true\r\n"
                          "Content-Length: 0",
                          "")));
  CheckOutcome(RequestOutcome::kAnswered,
               Run(Answer("503 Busy\r\nContent-Length: 0", "")));
  CheckOutcome(RequestOutcome::kAnswered,
               Run(Answer("200 OK\r\nBramleyrail-Not-Run: true\r\n"
                          "Content-Length: 0",
                          "")));
}

// Guards against sending on under a session that the target has replaced.
TEST(TargetClient, ARefusedSessionNumberClosesTheSession) {
  Run(Answer("409 Conflict\r\nBramleyrail-Not-Run: true\r\nContent-Length: 0",
             ""));
  CHECK(session->closed());
}

// Guards against a lease that ends between selection and sending.
TEST(TargetClient, TheLeaseIsCheckedAtTheMomentOfSending) {
  RawTarget target(Answer("200 OK\r\nContent-Length: 0", ""));
  TargetClient client({.clock = [] { return kStart + Milliseconds(2'700); }});
  CheckOutcome(RequestOutcome::kNotSent, Run(&target, &client));
  LONGS_EQUAL(0, target.bytes_received());
  LONGS_EQUAL(0, session->slots_in_use());
}

// Guards against sending to a target that has left after it was selected.
TEST(TargetClient, NothingIsSentToALeavingTarget) {
  RawTarget target(Answer("200 OK\r\nContent-Length: 0", ""));
  TargetClient client({.clock = [this] {
    session->Close();
    return kStart;
  }});
  CheckOutcome(RequestOutcome::kNotSent, Run(&target, &client));
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
