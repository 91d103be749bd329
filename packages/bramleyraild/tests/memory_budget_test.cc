#include "packages/bramleyraild/memory_budget.h"

#include "packages/bramleyraild/relayed_memory.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(MemoryBudget){};

// Guards against parts that together take more than the machine has, counting
// what growing buffers and the allocator add, and against a part in which the
// largest message does not fit.
TEST(MemoryBudget, PartsFitTogetherAndHoldTheLargestMessage) {
  constexpr size_t kLargestHeartbeat = size_t{4} * 1024 * 1024;
  constexpr size_t kLargestFrame = size_t{8} * 1024 * 1024;
  for (const int64_t megabytes : {128, 160, 384, 640}) {
    for (const InstanceRole role :
         {InstanceRole::kControl, InstanceRole::kGateway}) {
      const auto budget = MemoryBudget::Create(role, megabytes);
      CHECK(budget.has_value());
      const auto& [connections, peers, relayed, jobs] = budget.value();
      CHECK(2 * (connections + peers + relayed) + jobs <
            static_cast<size_t>(megabytes) * 1'000'000);
      CHECK((role == InstanceRole::kControl) == (jobs > 0));
      CHECK(connections / 4 * 3 > 3 * kLargestHeartbeat);
      CHECK(peers > kLargestFrame);
      CHECK(role == InstanceRole::kGateway || relayed > 2 * kLargestHeartbeat);
    }
  }
}

TEST(MemoryBudget, TooLittleMemoryIsRefusedWithTheLimit) {
  const auto budget = MemoryBudget::Create(InstanceRole::kControl, 64);
  CHECK(!budget);
  STRCMP_CONTAINS("maximum_memory_mb", budget.error().ToString().c_str());
}

// Guards against room of answered requests that is never free again.
TEST(MemoryBudget, RelayedRequestsGiveTheirRoomBack) {
  RelayedMemory memory(1'000);
  auto first = memory.Take(400);
  CHECK(first != nullptr);
  CHECK(memory.Take(400) == nullptr);
  first.reset();
  LONGS_EQUAL(0, memory.used());
  CHECK(memory.Take(400) != nullptr);
  LONGS_EQUAL(1, memory.refused());
}

}  // namespace
}  // namespace bramleyrail
