#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>

#include "packages/routing/routing.h"

// Last, since it redefines `new`.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(1'000)};

TargetAnnouncement Announcement(int64_t session,
                                int64_t slots,
                                int64_t connections,
                                WorkInProgress work) {
  return {"t1",  "quotes",    "127.0.0.1",    1, session, 1,
          slots, connections, std::move(work)};
}

TEST_GROUP(TargetSession){};

// The target's clock may run faster, so it may consider the lease expired
// before this instance does.
TEST(TargetSession, SendingStopsATenthBeforeTheLeaseEnds) {
  TargetSession session(Announcement(1, 2, 2, {}), kStart);
  CHECK(session.MaySend(kStart + Milliseconds(2'699)));
  CHECK(!session.MaySend(kStart + Milliseconds(2'700)));
  CHECK(!session.TryAcquire(WorkKind::kRequest, kStart + Milliseconds(2'700)));
  CHECK(session.Renew(2, {}, kStart + Milliseconds(2'800)));
  CHECK(session.MaySend(kStart + Milliseconds(2'801)));
}

// A target that is leaving or drained gets no new work.
TEST(TargetSession, ClosedAndDrainedSessionsTakeNothing) {
  TargetSession session(Announcement(1, 2, 2, {}), kStart);
  session.SetDrained(true);
  CHECK(!session.TryAcquire(WorkKind::kRequest, kStart));
  session.SetDrained(false);
  CHECK(session.TryAcquire(WorkKind::kRequest, kStart));
  session.Close();
  CHECK(!session.TryAcquire(WorkKind::kRequest, kStart));
  CHECK(!session.MaySend(kStart));
}

// A delayed renewal, composed before one that was already handled, must not
// release charges by its outdated list.
TEST(TargetSession, RenewalsOutOfOrderAreIgnored) {
  TargetSession session(Announcement(1, 2, 2, {{"a"}, {}}), kStart);
  CHECK(session.Renew(5, {{"a"}, {}}, kStart));
  CHECK(!session.Renew(4, {}, kStart));
  LONGS_EQUAL(1, session.slots_in_use());
}

// A renewal that was in transit when a connection broke must not release the
// capacity of the interrupted request.
TEST(TargetSession, BrokenRequestsStayChargedUntilTheSecondRenewal) {
  TargetSession session(Announcement(1, 1, 1, {}), kStart);
  CHECK(session.TryAcquire(WorkKind::kRequest, kStart));
  session.RetainCharge(WorkKind::kRequest, "a");
  CHECK(session.Renew(2, {}, kStart));
  LONGS_EQUAL(1, session.slots_in_use());
  CHECK(session.Renew(3, {}, kStart));
  LONGS_EQUAL(0, session.slots_in_use());
  // The request started late, from the target's accept queue.
  CHECK(session.Renew(4, {{"a"}, {}}, kStart));
  LONGS_EQUAL(1, session.slots_in_use());
}

// Models a target and the sessions that successive owners hold with it. Tracks
// the work that actually runs on the target.
class SessionModel {
 public:
  SessionModel(int64_t slots, int64_t connections)
      : slots_(slots), connections_(connections) {
    Announce();
  }

  void Start(WorkKind kind) {
    if (session_->TryAcquire(kind, kStart)) {
      running_.emplace(std::to_string(++last_id_), kind);
      attached_.insert(std::to_string(last_id_));
    }
  }

  void Finish(size_t pick) {
    if (running_.empty()) {
      return;
    }
    const auto work =
        std::next(running_.begin(), static_cast<long>(pick % running_.size()));
    if (attached_.erase(work->first) > 0) {
      session_->Release(work->second);
    }
    running_.erase(work);
  }

  // Breaks a connection; the target continues the work.
  void Break(size_t pick) {
    if (attached_.empty()) {
      return;
    }
    const auto id = std::next(attached_.begin(),
                              static_cast<long>(pick % attached_.size()));
    session_->RetainCharge(running_.at(*id), *id);
    attached_.erase(id);
  }

  void Renew() { session_->Renew(++sequence_, Work(), kStart); }

  // Replaces the lost owner: the target announces itself to another one.
  void Announce() {
    attached_.clear();
    TargetAnnouncement announcement =
        Announcement(++number_, slots_, connections_, Work());
    announcement.sequence = ++sequence_;
    session_.emplace(announcement, kStart);
  }

  void Check() const {
    int64_t requests = 0;
    for (const auto& [id, kind] : running_) {
      requests += kind == WorkKind::kRequest ? 1 : 0;
    }
    RC_ASSERT(requests <= slots_);
    RC_ASSERT(static_cast<int64_t>(running_.size()) <= connections_);
  }

  // Once nothing runs and the target has reported this, all capacity is free.
  void CheckNothingLeaks() {
    while (!running_.empty()) {
      Finish(0);
    }
    Renew();
    Renew();
    RC_ASSERT(session_->slots_in_use() == 0);
    RC_ASSERT(session_->connections_in_use() == 0);
  }

 private:
  WorkInProgress Work() const {
    WorkInProgress work;
    for (const auto& [id, kind] : running_) {
      (kind == WorkKind::kRequest ? work.requests : work.watches).push_back(id);
    }
    return work;
  }

  int64_t slots_;
  int64_t connections_;
  int64_t number_ = 0;
  int64_t sequence_ = 0;
  int64_t last_id_ = 0;
  std::map<std::string, WorkKind> running_;
  std::set<std::string> attached_;  // Ids of work whose connection is intact.
  std::optional<TargetSession> session_;
};

// A target must not run more work than its slots and connections allow, also
// when connections break and when a new owner inherits running work.
TEST(TargetSession, WorkNeverExceedsCapacity) {
  CHECK(rc::check("work never exceeds capacity", [] {
    SessionModel model(*rc::gen::inRange<int64_t>(1, 4),
                       *rc::gen::inRange<int64_t>(1, 6));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, size_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange<size_t>(0, 8)));
    for (const auto& [step, pick] : steps) {
      switch (step) {
        case 0:
        case 1:
          model.Start(WorkKind::kRequest);
          break;
        case 2:
          model.Start(WorkKind::kWatch);
          break;
        case 3:
          model.Finish(pick);
          break;
        case 4:
          model.Break(pick);
          break;
        case 5:
          model.Renew();
          break;
        default:
          model.Announce();
      }
      model.Check();
    }
    model.CheckNothingLeaks();
  }));
}

}  // namespace
}  // namespace bramleyrail
