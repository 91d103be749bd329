#include "packages/bramleyraild/descriptor_budget.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(DescriptorBudget){};

// Guards against a part that takes the descriptors of another one, and against
// a fleet whose orders open a connection each time: a worker needs one for
// lease renewals, and orders to three of four workers should find an idle one.
// With 1.07 idle connections a worker, 90,000 were opened on a calm day.
TEST(DescriptorBudget, PartsFitTogetherAndReachEveryWorker) {
  struct Machine {
    int64_t descriptors;
    size_t workers;
    size_t instances;
  };
  for (const Machine& machine :
       {Machine{4'096, 490, 36}, Machine{4'324, 1'100, 153}}) {
    const auto budget = DescriptorBudget::Create(machine.descriptors);
    CHECK(budget.has_value());
    const auto& [peers, server, renewals, orders] = budget.value();
    CHECK(static_cast<int64_t>(peers + server + renewals + orders) + 200 <
          machine.descriptors);
    CHECK(renewals >= machine.workers);
    CHECK(orders >= machine.workers * 7 / 4);
    CHECK(renewals + orders >= machine.workers * 11 / 4);
    // A worker reports to any of six control instances.
    CHECK(server >= machine.workers / 2);
    // Both ends dial each other while an instance replaces its connection.
    CHECK(peers >= 2 * machine.instances);
  }
}

// Guards against callers of a gateway that take the descriptors of its links to
// control instances: it took 2,000 connections whatever its machine had.
TEST(DescriptorBudget, CallersOfAGatewayLeaveDescriptorsToItsOtherParts) {
  for (const int64_t descriptors : {512, 1'024, 4'100, 100'000}) {
    const auto budget = DescriptorBudget::CreateForGateway(descriptors);
    CHECK(budget.has_value());
    const auto& [peers, server, renewals, orders] = budget.value();
    CHECK(server >= 100);
    CHECK(static_cast<int64_t>(server + peers + kReadyConnections +
                               kMetricsConnections) +
              200 <
          descriptors);
  }
  CHECK(!DescriptorBudget::CreateForGateway(511));
}

TEST(DescriptorBudget, TooFewDescriptorsAreRefusedWithTheLimit) {
  const auto budget = DescriptorBudget::Create(256);
  CHECK(!budget);
  STRCMP_CONTAINS("maximum_descriptors", budget.error().ToString().c_str());
}

}  // namespace
}  // namespace bramleyrail
