#include "packages/consensus/consensus.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr uint64_t kNonce = 7;

TEST_GROUP(Formation) {
  Formation formation_{{"a", {"a", "b", "c"}, kNonce}};
};

// Guards against a second cluster that part of the initial voters form.
TEST(Formation, FormsOnlyAfterEveryOtherVoterAnswered) {
  formation_.Receive("b", {.nonce = kNonce});
  CHECK(formation_.Decide() == Formation::Decision::kWait);
  formation_.Receive("c", {.nonce = kNonce});
  CHECK(formation_.Decide() == Formation::Decision::kForm);
  CHECK(!formation_.AllFormed());
  formation_.Receive("b", {.nonce = kNonce, .formed = true});
  formation_.Receive("c", {.nonce = kNonce, .formed = true});
  CHECK(formation_.AllFormed());
}

// Guards against a replica that takes its old id again after it lost its disk:
// it may have voted under that id.
TEST(Formation, JoinsAsSoonAsOneAnswerShowsHistory) {
  formation_.Receive("b", {.nonce = kNonce});
  formation_.Receive("c", {.nonce = kNonce, .formed = true, .term = 1});
  CHECK(formation_.Decide() == Formation::Decision::kJoin);
}

// Guards against an answer that is older than a vote of an earlier process.
TEST(Formation, IgnoresAnswersToAnEarlierProcess) {
  formation_.Receive("b", {.nonce = kNonce});
  formation_.Receive("c", {.nonce = kNonce + 1});
  CHECK(formation_.Decide() == Formation::Decision::kWait);
}

// Guards against an instance outside the initial voters that forms a cluster.
TEST(Formation, OthersAlwaysJoin) {
  const Formation other({"d", {"a", "b", "c"}, kNonce});
  CHECK(other.Decide() == Formation::Decision::kJoin);
  const Formation single({"a", {"a"}, kNonce});
  CHECK(single.Decide() == Formation::Decision::kForm);
  CHECK(single.AllFormed());
}

}  // namespace
}  // namespace bramleyrail
