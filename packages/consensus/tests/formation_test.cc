#include "packages/consensus/consensus.h"

// Redefines operator new, so it must be included after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr uint64_t kNonce = 7;

TEST_GROUP(Formation) {
  Formation formation_{{"a", {"a", "b", "c"}, kNonce}};
};

// A part of the initial voters must not form a cluster of its own: the others
// could form a second one.
TEST(Formation, FormsOnlyAfterEveryOtherVoterAnswered) {
  formation_.Receive("b", {.nonce = kNonce});
  CHECK(formation_.Decide() == Formation::Decision::kWait);
  formation_.Receive("c", {.nonce = kNonce});
  CHECK(formation_.Decide() == Formation::Decision::kForm);
  CHECK(!formation_.AllInitialVotersFormed());
  formation_.Receive("b", {.nonce = kNonce, .formed = true});
  formation_.Receive("c", {.nonce = kNonce, .formed = true});
  CHECK(formation_.AllInitialVotersFormed());
}

// A replica that lost its disk must not continue under its old id: it may have
// voted under that id and could vote a second time.
TEST(Formation, JoinsAsSoonAsOneAnswerShowsHistory) {
  formation_.Receive("b", {.nonce = kNonce});
  formation_.Receive("c", {.nonce = kNonce, .formed = true, .term = 1});
  CHECK(formation_.Decide() == Formation::Decision::kJoin);
}

// A response to an earlier process may have been sent before a vote of that
// process, so it must not count.
TEST(Formation, IgnoresAnswersToAnEarlierProcess) {
  formation_.Receive("b", {.nonce = kNonce});
  formation_.Receive("c", {.nonce = kNonce + 1});
  CHECK(formation_.Decide() == Formation::Decision::kWait);
}

// An instance that is not an initial voter must not form a cluster.
TEST(Formation, OthersAlwaysJoin) {
  const Formation other({"d", {"a", "b", "c"}, kNonce});
  CHECK(other.Decide() == Formation::Decision::kJoin);
  const Formation single({"a", {"a"}, kNonce});
  CHECK(single.Decide() == Formation::Decision::kForm);
  CHECK(single.AllInitialVotersFormed());
}

}  // namespace
}  // namespace bramleyrail
