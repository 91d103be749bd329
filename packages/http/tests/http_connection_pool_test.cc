#include <rapidcheck.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "packages/http/http.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr size_t kWorkers = 1'100;

std::string WorkerName(size_t number) {
  return absl::StrCat("10.0.0.1:", number + 1'000);
}

TEST_GROUP(HttpConnectionPool) {
  MonotonicTime now_{std::chrono::hours(1)};
};

// Pattern: a burst of wide jobs on a large fleet. Several orders are due at
// once for every worker, and each of them opened a connection that was kept:
// the leader ran out of descriptors.
TEST(HttpConnectionPool, BurstOfOrdersToAllWorkersStaysWithinTheLimit) {
  HttpConnectionPool pool(
      {.maximum_connections = 2'200, .maximum_connections_per_address = 8});
  size_t begun = 0;
  std::vector<HttpConnectionPool::Number> used;
  for (int order = 0; order < 8; ++order) {
    for (size_t worker = 0; worker < kWorkers; ++worker) {
      if (const auto grant = pool.Acquire(WorkerName(worker), now_)) {
        used.push_back(grant->connection);
        ++begun;
      }
    }
  }
  LONGS_EQUAL(2'200, pool.size());
  LONGS_EQUAL(2'200, begun);
  // Every worker got its first orders before any got a third one.
  for (const auto number : used) {
    pool.Release(number, true, now_);
  }
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    CHECK(!pool.Acquire(WorkerName(worker), now_)->is_new);
    CHECK(!pool.Acquire(WorkerName(worker), now_)->is_new);
  }
}

// Guards against idle connections to some workers that keep others from being
// reached.
TEST(HttpConnectionPool, FullPoolClosesTheConnectionThatIsIdleForLongest) {
  HttpConnectionPool pool({.maximum_connections = 2});
  const auto first = pool.Acquire("a", now_);
  const auto second = pool.Acquire("b", now_);
  CHECK(!pool.Acquire("c", now_).has_value());
  CHECK(!pool.HasRoom());
  pool.Release(second->connection, true, now_);
  pool.Release(first->connection, true, now_ + Milliseconds(1));
  CHECK(pool.Acquire("c", now_ + Milliseconds(2))->is_new);
  const auto removed = pool.TakeRemoved();
  LONGS_EQUAL(1, removed.size());
  CHECK(removed.front() == second->connection);
  LONGS_EQUAL(2, pool.size());
}

// Pattern: bursts of orders to a fleet about as large as the limit. A second
// order to a worker took the idle connection of another one, so that most
// orders had to open a connection, and the fuller the leader was the more.
TEST(HttpConnectionPool, FullPoolReplacesNoConnectionForASecondOne) {
  HttpConnectionPool pool({.maximum_connections = 2});
  const auto first = pool.Acquire("a", now_);
  pool.Release(pool.Acquire("b", now_)->connection, true, now_);
  CHECK(!pool.Acquire("a", now_).has_value());
  CHECK(pool.TakeRemoved().empty());
  pool.Release(first->connection, true, now_);
  CHECK(!pool.Acquire("a", now_)->is_new);
  CHECK(!pool.Acquire("b", now_)->is_new);
}

// Guards against connections that stay open after their worker has left.
TEST(HttpConnectionPool, IdleConnectionsOfAnyAddressExpire) {
  HttpConnectionPool pool({.idle_timeout = Milliseconds(1'000)});
  pool.Release(pool.Acquire("gone", now_)->connection, true, now_);
  pool.Acquire("other", now_ + Milliseconds(1'001));
  LONGS_EQUAL(1, pool.TakeRemoved().size());
  LONGS_EQUAL(1, pool.size());
}

// Any sequence of calls keeps the limits, hands out no connection twice, and
// reports each removed connection once.
TEST(HttpConnectionPool, AnySequenceOfCallsKeepsTheLimits) {
  CHECK(rc::check("limits", [this] {
    const auto total = *rc::gen::inRange<size_t>(1, 8);
    const auto each = *rc::gen::inRange<size_t>(1, 4);
    HttpConnectionPool pool({.maximum_connections = total,
                             .maximum_connections_per_address = each,
                             .idle_timeout = Milliseconds(20)});
    std::map<HttpConnectionPool::Number, std::string> in_use;
    size_t created = 0;
    size_t removed = 0;
    MonotonicTime now = now_;
    const auto moves =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, 40));
    for (const int move : moves) {
      now += Milliseconds(move);
      const std::string address(1, static_cast<char>('a' + move % 4));
      if (move < 25) {
        const auto grant = pool.Acquire(address, now);
        RC_ASSERT(!grant || !in_use.contains(grant->connection));
        if (grant) {
          created += grant->is_new ? 1 : 0;
          in_use[grant->connection] = address;
        }
      } else if (move < 37 && !in_use.empty()) {
        pool.Release(in_use.begin()->first, move % 3 != 0, now);
        in_use.erase(in_use.begin());
      } else {
        pool.RemoveIdle(address);
      }
      removed += pool.TakeRemoved().size();
      RC_ASSERT(pool.size() <= total);
      RC_ASSERT(pool.size() == created - removed);
      RC_ASSERT(pool.size() == in_use.size() + pool.idle());
      for (char name = 'a'; name < 'e'; ++name) {
        const auto count = std::count_if(
            in_use.begin(), in_use.end(), [name](const auto& entry) {
              return entry.second == std::string(1, name);
            });
        RC_ASSERT(static_cast<size_t>(count) <= each);
      }
    }
  }));
}

}  // namespace
}  // namespace bramleyrail
