#include "packages/control/registration_check.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

WorkerRegistration Registration(std::string id,
                                std::string pool,
                                std::string failure_domain) {
  WorkerRegistration registration;
  registration.id = std::move(id);
  registration.started_unix_ms = 1;
  registration.address = "10.0.0.1:80";
  registration.pool = std::move(pool);
  registration.failure_domain = std::move(failure_domain);
  return registration;
}

TEST_GROUP(RegistrationCheck) {
  QueueState state_;

  void Configure() {
    ReplaceConfiguration command;
    command.configuration.version = 1;
    command.configuration.pools.push_back({.name = "pool"});
    state_.Apply({0, command});
  }

  RegistrationCheck Check(const WorkerRegistration& registration) {
    return CheckRegistration(state_, registration, {"east", "west"});
  }
};

// Fails when an odd heartbeat, which names a pool or a failure domain that does
// not exist, is recorded: it would remove the worker at the same address, and
// its tasks would start again while they run.
TEST(RegistrationCheck, HeartbeatThatNamesNoUsableWorkerIsNotRecorded) {
  Configure();
  CHECK(Check(Registration("w", "pool", "east")) == RegistrationCheck::kNew);
  CHECK(Check(Registration("w", "odd", "east")) ==
        RegistrationCheck::kUnusable);
  CHECK(Check(Registration("w", "pool", "odd")) ==
        RegistrationCheck::kUnusable);
}

// TWICE: a heartbeat of another writer, with the id of a worker at work and a
// pool that does not exist, counted as a later incarnation of the worker, and
// its tasks started elsewhere. Fails when it is recorded.
TEST(RegistrationCheck, HeartbeatOfAnotherWriterDoesNotReplaceAWorker) {
  Configure();
  WorkerRegistration worker = Registration("w", "pool", "east");
  worker.started_unix_ms = 5;
  state_.Apply({0, PutWorker{worker}});
  for (const int64_t started : {5, 6}) {
    WorkerRegistration odd = Registration("w", "odd", "east");
    odd.started_unix_ms = started;
    CHECK(Check(odd) == RegistrationCheck::kUnusable);
    odd = Registration("w", "pool", "odd");
    odd.started_unix_ms = started;
    CHECK(Check(odd) == RegistrationCheck::kUnusable);
  }
  worker.started_unix_ms = 6;
  CHECK(Check(worker) == RegistrationCheck::kNew);
}

// Fails when workers cannot register before the first configuration, or when
// the end of one whose pool was removed is not recorded.
TEST(RegistrationCheck, WorkersRegisterBeforeTheirPoolIsConfigured) {
  const WorkerRegistration early = Registration("early", "later", "east");
  CHECK(Check(early) == RegistrationCheck::kNew);
  state_.Apply({0, PutWorker{early}});
  CHECK(Check(early) == RegistrationCheck::kRecorded);
  Configure();
  WorkerRegistration draining = early;
  draining.draining = true;
  CHECK(Check(draining) == RegistrationCheck::kNew);
}

}  // namespace
}  // namespace bramleyrail
