#include <map>

#include "packages/routing/routing.h"

// Last, since it redefines `new`.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(1'000)};
constexpr Milliseconds kPlenty{10'000};

TEST_GROUP(Selection) {
  MonotonicTime now = kStart;
  RoutingTable table{RoutingTable::Options{.instance = "i0",
                                           .failure_domain = "fd1",
                                           .region = "south",
                                           .clock = [this] { return now; }}};

  void Announce(const std::string& name, int64_t slots) {
    CHECK(
        table.Announce({name, "quotes", "127.0.0.1", 1, 1, 1, slots, slots, {}})
            .has_value());
  }

  void Summarise(const std::string& instance, const std::string& domain,
                 const std::string& region, int64_t free, double latency) {
    table.UpdateOwner(instance,
                      {domain, region, {{"quotes", 1, free, free, latency}}});
  }

  std::string Owner(Milliseconds remaining) {
    const auto owner =
        table.ChooseOwner("quotes", WorkKind::kRequest, remaining, {});
    return owner.has_value() ? owner->instance : "";
  }
};

// Without these rules, traffic would leave its region while nearer owners have
// capacity, or would go to near owners that respond after the deadline.
TEST(Selection, OwnersAreChosenByDistanceCapacityAndDeadline) {
  Summarise("far", "fd9", "north", 100, 1);
  STRCMP_EQUAL("far", Owner(kPlenty).c_str());
  Summarise("near", "fd2", "south", 1, 50);
  STRCMP_EQUAL("near", Owner(kPlenty).c_str());
  // The one free slot of `near` counts as used until its next summary.
  STRCMP_EQUAL("far", Owner(kPlenty).c_str());
  Summarise("near", "fd2", "south", 5, 50);
  STRCMP_EQUAL("far", Owner(Milliseconds(40)).c_str());
  Summarise("same", "fd1", "south", 5, 50);
  STRCMP_EQUAL("same", Owner(kPlenty).c_str());
  Announce("t1", 1);
  STRCMP_EQUAL("i0", Owner(kPlenty).c_str());
}

// Work must not go to an owner that no longer sends summaries.
TEST(Selection, SummariesExpireAfterTwoSeconds) {
  Summarise("near", "fd2", "south", 5, 1);
  now += Milliseconds(1'999);
  STRCMP_EQUAL("near", Owner(kPlenty).c_str());
  now += Milliseconds(1);
  STRCMP_EQUAL("", Owner(kPlenty).c_str());
}

// A target that failed five times in a row gets no new work, but at most half
// of the targets are ejected.
TEST(Selection, FailingTargetsAreEjectedUpToOneHalf) {
  for (const char* name : {"t1", "t2", "t3"}) {
    Announce(name, 4);
  }
  for (const auto& session : table.Sessions()) {
    for (int i = 0; i < 5; ++i) {
      table.RecordFailure(session.get());
    }
  }
  const auto ejected = [this] {
    int count = 0;
    for (const auto& session : table.Sessions()) {
      count += session->health().IsEjected(now) ? 1 : 0;
    }
    return count;
  };
  LONGS_EQUAL(1, ejected());
  for (int i = 0; i < 8; ++i) {
    const auto charge = table.AcquireTarget("quotes", WorkKind::kRequest, "r1");
    CHECK(!charge->session().health().IsEjected(now));
  }
  now += Milliseconds(1'201);  // 1 s and at most 20% of jitter.
  LONGS_EQUAL(0, ejected());
}

// A target that recovers from an ejection must not get its full traffic at
// once.
TEST(Selection, ReturningTargetsGetAGrowingShare) {
  Announce("t1", 1'000);
  Announce("t2", 1'000);
  const auto sessions = table.Sessions();
  const std::shared_ptr<TargetSession> returning = sessions.front();
  returning->health().Eject(now, 0);
  const auto count = [&](Milliseconds later) {
    now = kStart + later;
    for (const auto& session : sessions) {
      session->Renew(later.count() + 1, {}, now);
    }
    int chosen = 0;
    for (int i = 0; i < 400; ++i) {
      const auto charge =
          table.AcquireTarget("quotes", WorkKind::kRequest, "r1");
      chosen += &charge->session() == returning.get() ? 1 : 0;
    }
    return chosen;
  };
  const int at_first = count(Milliseconds(1'100));
  const int later = count(Milliseconds(11'500));
  CHECK(at_first > 0);
  CHECK(at_first * 3 < later);
}

// A slow target must not get as much traffic as a fast one.
TEST(Selection, TheBetterOfTwoTargetsFollowsUseAndLatency) {
  Announce("t1", 8);
  Announce("t2", 8);
  for (const auto& session : table.Sessions()) {
    session->health().RecordSuccess(
        Milliseconds(session->name() == "t1" ? 100 : 5));
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i) {
    ++chosen[table.AcquireTarget("quotes", WorkKind::kRequest, "r1")
                 ->session()
                 .name()];
  }
  CHECK(chosen["t2"] > chosen["t1"] * 2);
}

TEST_GROUP(RetryBudget){};

// Unlimited retries would amplify an overload.
TEST(RetryBudget, AllowsATenthOfTheRequestsAndAtLeastThree) {
  RetryBudget budget;
  const auto consume_all = [&budget](MonotonicTime now) {
    int consumed = 0;
    while (budget.TryConsumeRetry("quotes", now)) {
      ++consumed;
    }
    return consumed;
  };
  LONGS_EQUAL(3, consume_all(kStart));
  for (int i = 0; i < 100; ++i) {
    budget.CountRequest("quotes", kStart);
  }
  LONGS_EQUAL(7, consume_all(kStart + std::chrono::seconds(9)));
  LONGS_EQUAL(0, consume_all(kStart + std::chrono::seconds(9)));
  // The requests and the first 3 retries have left the window of 10 s.
  LONGS_EQUAL(0, consume_all(kStart + std::chrono::seconds(10)));
  LONGS_EQUAL(3, consume_all(kStart + std::chrono::seconds(19)));
}

TEST_GROUP(RequestTable){};

// The memory of the request table must not grow without limit.
TEST(RequestTable, IsBoundedByCountAndAge) {
  MonotonicTime now = kStart;
  RequestTable table({.instance = "i0",
                      .maximum_records = 160,
                      .clock = [&now] { return now; }});
  for (int i = 0; i < 1'000; ++i) {
    table.StartRecord(RequestRole::kEntry, std::to_string(i), "quotes", "c",
                      true);
  }
  CHECK(table.size() <= 160);
  CHECK(table.Find("999").has_value());
  now += Milliseconds(600'001);
  for (int i = 1'000; i < 1'100; ++i) {
    table.StartRecord(RequestRole::kEntry, std::to_string(i), "quotes", "c",
                      true);
  }
  CHECK(table.size() <= 100);
}

TEST_GROUP(RoutingMessage){};

// A payload may start at any offset of a frame, and may be truncated.
TEST(RoutingMessage, SurvivesAnyAlignmentAndRefusesDamage) {
  const ForwardedRequest request{
      "r1", "quotes", "c1", true, Milliseconds(1234), "a/b", "body"};
  const std::vector<std::byte> bytes = EncodeRoutingMessage(request);
  for (size_t offset = 0; offset < 8; ++offset) {
    std::vector<std::byte> frame(offset);
    frame.insert(frame.end(), bytes.begin(), bytes.end());
    const auto message =
        DecodeRoutingMessage(std::span(frame).subspan(offset)).value();
    const auto& copy = std::get<ForwardedRequest>(message);
    STRCMP_EQUAL("body", copy.body.c_str());
    LONGS_EQUAL(1234, copy.remaining.count());
    CHECK(copy.idempotent);
  }
  CHECK(!DecodeRoutingMessage(std::span(bytes).first(bytes.size() / 2))
             .has_value());
}

}  // namespace
}  // namespace bramleyrail
