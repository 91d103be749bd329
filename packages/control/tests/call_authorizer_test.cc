#include "packages/control/call_authorizer.h"

// CppUTest redefines operator new, so its header follows the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

using Kind = CallerCredentials::Kind;

CallerCredentials NoCredentials() {
  return {};
}

CallerCredentials UnreadableCredentials() {
  return {Kind::kUnreadable, ""};
}

CallerCredentials Key(std::string key) {
  return {Kind::kKey, std::move(key)};
}

QueueConfiguration Configuration(int64_t version,
                                 std::vector<std::string> keys_of_a) {
  QueueConfiguration configuration;
  configuration.version = version;
  configuration.accounts = {{.name = "a", .keys = std::move(keys_of_a)},
                            {.name = "b", .keys = {"key-of-b"}}};
  return configuration;
}

TEST_GROUP(CallAuthorizer) {
  QueueConfiguration configuration_ = Configuration(1, {"key-1", "key-2"});
  const JobQueue queue_{};
  const JobQueue public_queue_{.is_public = true};
  CallAuthorizer authorizer_;

  CallAuthorization Decide(const JobQueue& queue,
                           const CallerCredentials& credentials,
                           const QueuedJob* job = nullptr) {
    return authorizer_.Decide(configuration_, queue, job, credentials);
  }
};

// Fails when a call runs with a key that no account holds, or when a key that
// one holds is refused.
TEST(CallAuthorizer, OnlyKeysOfAccountsAreAllowed) {
  for (const char* key : {"key-1", "key-2"}) {
    CHECK(!Decide(queue_, Key(key)).refusal);
    STRCMP_EQUAL("a", Decide(queue_, Key(key)).account.c_str());
  }
  STRCMP_EQUAL("b", Decide(queue_, Key("key-of-b")).account.c_str());
  for (const std::string& key :
       {std::string("key-"), std::string("key-11"), std::string("KEY-1"),
        std::string(), std::string("key-1\0", 6), std::string(10'000, 'k')}) {
    CHECK(Decide(queue_, Key(key)).refusal == CallRefusal::kUnknownKey);
  }
  CHECK(Decide(queue_, NoCredentials()).refusal == CallRefusal::kNoKey);
  CHECK(Decide(queue_, UnreadableCredentials()).refusal ==
        CallRefusal::kUnreadableCredentials);
}

// Fails when a public queue needs a key, serves a key that no account holds, or
// does not attribute a job to the account whose key was sent.
TEST(CallAuthorizer, PublicQueueNeedsNoKeyButNoFalseOne) {
  CHECK(!Decide(public_queue_, NoCredentials()).refusal);
  STRCMP_EQUAL("a", Decide(public_queue_, Key("key-1")).account.c_str());
  CHECK(Decide(public_queue_, Key("x")).refusal == CallRefusal::kUnknownKey);
  CHECK(Decide(public_queue_, UnreadableCredentials()).refusal.has_value());
}

// Fails when the index of an earlier version is used: revoked keys would go on
// and new ones would be refused.
TEST(CallAuthorizer, KeysFollowTheVersionOfTheConfiguration) {
  CHECK(!Decide(queue_, Key("key-1")).refusal);
  configuration_ = Configuration(2, {"key-2", "key-3"});
  CHECK(Decide(queue_, Key("key-1")).refusal == CallRefusal::kUnknownKey);
  CHECK(!Decide(queue_, Key("key-2")).refusal);
  CHECK(!Decide(queue_, Key("key-3")).refusal);
}

// Fails when one account reads or cancels the jobs of another.
TEST(CallAuthorizer, JobBelongsToItsAccount) {
  QueuedJob job;
  CHECK(!Decide(queue_, Key("key-of-b"), &job).refusal);
  job.account = "a";
  CHECK(!Decide(queue_, Key("key-2"), &job).refusal);
  CHECK(Decide(queue_, Key("key-of-b"), &job).refusal ==
        CallRefusal::kOtherAccount);
}

// Fails when a call through a public queue reads or cancels a job that was
// submitted to a private one.
TEST(CallAuthorizer, PublicQueueOpensNoJobOfAnotherQueue) {
  configuration_.queues = {{.name = "private"},
                           {.name = "public", .is_public = true}};
  const JobQueue& queue = configuration_.queues[1];
  QueuedJob job;
  job.queue = "private";
  job.account = "a";
  CHECK(Decide(queue, NoCredentials(), &job).refusal == CallRefusal::kNoKey);
  CHECK(Decide(queue, Key("key-of-b"), &job).refusal ==
        CallRefusal::kOtherAccount);
  CHECK(!Decide(queue, Key("key-1"), &job).refusal);
  job.queue = "removed";
  CHECK(Decide(queue, NoCredentials(), &job).refusal == CallRefusal::kNoKey);
  job.queue = "public";
  CHECK(!Decide(queue, NoCredentials(), &job).refusal);
}

// Fails when a deployment without accounts looks at credentials.
TEST(CallAuthorizer, WithoutAccountsEveryCallIsAllowed) {
  configuration_.accounts.clear();
  for (const CallerCredentials& credentials :
       {NoCredentials(), UnreadableCredentials(), Key("key-1")}) {
    const CallAuthorization authorization = Decide(queue_, credentials);
    CHECK(!authorization.refusal);
    CHECK(authorization.account.empty());
  }
}

}  // namespace
}  // namespace bramleyrail
