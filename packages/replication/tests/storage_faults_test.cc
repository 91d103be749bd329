#include "packages/replication/fakes/cluster_simulation.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// Disks that fail, and processes that lack descriptors, in a simulated cluster.
TEST_GROUP(StorageFaults) {
  const std::vector<std::string> voters_ = {"a", "b", "c"};

  static void CheckSafe(ClusterSimulation & simulation) {
    STRCMP_EQUAL("", simulation.checker().violation().c_str());
  }
};

// After a disk failure, a replica must not vote or acknowledge entries, but its
// instance continues as an observer.
TEST(StorageFaults, InstanceWithAFailedDiskContinuesAsAnObserver) {
  ClusterSimulation simulation({.voters = voters_, .seed = 5});
  CHECK(simulation.RunUntilLeader());
  const std::string failed = simulation.Leader();
  simulation.DiskOf(failed).remaining_successful_calls = 0;
  simulation.Propose(failed);
  CHECK(simulation.RunUntil([&] {
    return !simulation.Leader().empty() && simulation.Leader() != failed;
  }));
  CHECK(simulation.At(failed).Status().is_observer);
  CHECK(simulation.At(failed).Status().storage_fault.has_value());
  simulation.Propose(failed);
  CHECK(simulation.RunUntil([&] { return simulation.successes() > 0; }));
  CHECK(simulation.RunUntilConverged());
  CheckSafe(simulation);
}

// A leader without a free descriptor stopped its storage when a snapshot was
// due, left the quorum for good, and so did its successor: acknowledged entries
// were lost with a third instance.
TEST(StorageFaults, LeaderWithoutFreeDescriptorsStaysAVoter) {
  ClusterSimulation simulation({.voters = voters_, .seed = 8});
  CHECK(simulation.RunUntilLeader());
  const std::string leader = simulation.Leader();
  simulation.DiskOf(leader).has_free_descriptors = false;
  simulation.ProposeTogether(leader, 120);
  simulation.RunFor(Milliseconds(3'000));
  STRCMP_EQUAL(leader.c_str(), simulation.Leader().c_str());
  CHECK(!simulation.At(leader).Status().is_observer);
  CHECK(!simulation.At(leader).Status().storage_fault.has_value());
  simulation.DiskOf(leader).has_free_descriptors = true;
  simulation.RunFor(Milliseconds(3'000));
  // The snapshot is saved later, so a restart reads it.
  simulation.Crash(leader, 0, false);
  const int restored = simulation.snapshots_restored();
  simulation.Restart(leader);
  CHECK(simulation.snapshots_restored() > restored);
  CHECK(simulation.RunUntilConverged());
  CheckSafe(simulation);
}

// A follower that cannot open a file for the leader's snapshot stays a voter
// and installs the snapshot once it can.
TEST(StorageFaults, FollowerWithoutFreeDescriptorsInstallsTheSnapshotLater) {
  ClusterSimulation simulation({.voters = voters_, .seed = 9});
  CHECK(simulation.RunUntilLeader());
  const std::string leader = simulation.Leader();
  const std::string follower = leader == "a" ? "b" : "a";
  simulation.Crash(follower, 0, false);
  // Many enough that the leader has compacted what the follower misses.
  for (int round = 0; round < 12; ++round) {
    simulation.ProposeTogether(leader, 100);
    simulation.RunFor(Milliseconds(300));
  }
  simulation.Restart(follower);
  simulation.DiskOf(follower).has_free_descriptors = false;
  const int restored = simulation.snapshots_restored();
  simulation.RunFor(Milliseconds(2'000));
  LONGS_EQUAL(restored, simulation.snapshots_restored());
  CHECK(!simulation.At(follower).Status().storage_fault.has_value());
  CHECK(!simulation.At(follower).FreshAsOf().has_value());
  simulation.DiskOf(follower).has_free_descriptors = true;
  CHECK(simulation.RunUntil(
      [&] { return simulation.snapshots_restored() > restored; }));
  simulation.Propose(leader);
  CHECK(simulation.RunUntilConverged());
  CHECK(!simulation.At(follower).Status().is_observer);
  CheckSafe(simulation);
}

}  // namespace
}  // namespace bramleyrail
