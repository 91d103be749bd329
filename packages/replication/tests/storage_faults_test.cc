#include <random>

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

// Each replica whose disk had been full stayed an observer until its process
// was restarted, so the second one ended the quorum although every disk worked.
TEST(StorageFaults, DisksThatFillUpInTurnCostNoVoter) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = voters_, .seed = seed});
    CHECK(simulation.RunUntilLeader());
    CHECK(simulation.RunUntil([&] { return simulation.IsRepaired(); }));
    const std::string leader = simulation.Leader();
    const std::vector<ReplicaId> voters = simulation.At(leader).Status().voters;
    for (const std::string& full : voters_) {
      simulation.DiskOf(full).free_bytes = seed % 40;
      for (int round = 0; round < 50; ++round) {
        simulation.Propose(voters_[round % 3]);
        simulation.RunFor(Milliseconds(100));
      }
      simulation.DiskOf(full).free_bytes = std::nullopt;
      CHECK_TRUE_TEXT(simulation.RunUntil([&] {
        return simulation.IsRepaired() &&
               !simulation.At(full).Status().storage_fault.has_value();
      }),
                      simulation.Describe().c_str());
    }
    CHECK(simulation.At(simulation.Leader()).Status().voters == voters);
    CHECK(simulation.RunUntilConverged());
    CheckSafe(simulation);
  }
}

// A replica that gave up its id with its disk could not return without a
// quorum, so two disks that were full at the same time ended the service.
TEST(StorageFaults, MajorityOfFullDisksReturnsUnderItsIds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = voters_, .seed = seed});
    CHECK(simulation.RunUntilLeader());
    for (int round = 0; round < 30; ++round) {
      simulation.Propose("a");
      simulation.RunFor(Milliseconds(50));
    }
    for (const char* full : {"b", "c"}) {
      simulation.DiskOf(full).free_bytes = seed % 40;
    }
    for (int round = 0; round < 30; ++round) {
      simulation.Propose("a");
      simulation.RunFor(Milliseconds(100));
    }
    STRCMP_EQUAL("", simulation.Leader().c_str());
    const int successes = simulation.successes();
    for (const char* full : {"b", "c"}) {
      simulation.DiskOf(full).free_bytes = std::nullopt;
    }
    CHECK(simulation.RunUntilLeader());
    simulation.Propose("b");
    CHECK(simulation.RunUntil(
        [&] { return simulation.successes() > successes; }));
    CHECK(simulation.RunUntilConverged());
    CheckSafe(simulation);
  }
}

// A replica that returns with a vote or an entry that its disk lacks could vote
// twice in a term, or count an entry that a loss of power removes. All disks
// fail and work again in turn, while processes end at any moment.
TEST(StorageFaults, ReturningReplicasKeepWhatTheyAcknowledged) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    ClusterSimulation simulation({.voters = voters_,
                                  .seed = seed,
                                  .drop_probability = 0.05,
                                  .maximum_delay = Milliseconds(60)});
    std::mt19937_64 random(seed);
    for (int round = 0; round < 150; ++round) {
      const std::string& name = voters_[random() % voters_.size()];
      FakeDisk& disk = simulation.DiskOf(name);
      switch (random() % 6) {
        case 0:
          disk.free_bytes = random() % 400;
          break;
        case 1:
          disk.remaining_successful_calls = static_cast<int>(random() % 12);
          break;
        case 2:
        case 3:
          disk.free_bytes = std::nullopt;
          disk.remaining_successful_calls = std::nullopt;
          break;
        case 4:
          simulation.Crash(name, random() % 200, random() % 2 == 0);
          simulation.Restart(name);
          break;
        default:
          simulation.ProposeTogether(name, static_cast<int>(random() % 30));
          break;
      }
      simulation.RunFor(Milliseconds(static_cast<int64_t>(random() % 1'500)));
      STRCMP_EQUAL_TEXT("", simulation.checker().violation().c_str(),
                        std::to_string(seed).c_str());
    }
    for (const std::string& name : voters_) {
      simulation.DiskOf(name).free_bytes = std::nullopt;
      simulation.DiskOf(name).remaining_successful_calls = std::nullopt;
    }
    CHECK_TRUE_TEXT(simulation.RunUntilConverged(),
                    (std::to_string(seed) + simulation.Describe()).c_str());
    CHECK(simulation.successes() > 0);
    CheckSafe(simulation);
  }
}

// A disk that was full while the first folders were formatted kept the cluster
// from forming until the process was restarted.
TEST(StorageFaults, FolderIsFormattedOnceItsDiskTakesIt) {
  for (const size_t free_bytes : {0, 30, 60, 90}) {
    ClusterSimulation simulation({.voters = voters_, .seed = 3});
    simulation.DiskOf("b").free_bytes = free_bytes;
    simulation.RunFor(Milliseconds(4'000));
    STRCMP_EQUAL("", simulation.Leader().c_str());
    simulation.DiskOf("b").free_bytes = std::nullopt;
    CHECK(simulation.RunUntilLeader());
    CHECK(simulation.RunUntil([&] { return simulation.IsRepaired(); }));
    CheckSafe(simulation);
  }
}

// A disk with room for the log, but not for a snapshot, stopped the replica.
// All replicas save a snapshot at the same entry, so that ended the quorum.
TEST(StorageFaults, LogGoesOnWithoutRoomForASnapshot) {
  ClusterSimulation simulation(
      {.voters = voters_, .seed = 6, .snapshot_bytes = 1'000'000});
  CHECK(simulation.RunUntilLeader());
  for (const std::string& name : voters_) {
    simulation.DiskOf(name).free_bytes = 500'000;
  }
  const std::string leader = simulation.Leader();
  simulation.ProposeTogether(leader, 120);
  simulation.RunFor(Milliseconds(6'000));
  LONGS_EQUAL(120, simulation.successes());
  STRCMP_EQUAL(leader.c_str(), simulation.Leader().c_str());
  for (const std::string& name : voters_) {
    CHECK(!simulation.At(name).Status().storage_fault.has_value());
    simulation.DiskOf(name).free_bytes = std::nullopt;
  }
  simulation.RunFor(Milliseconds(3'000));
  const int restored = simulation.snapshots_restored();
  simulation.Crash(leader, 0, false);
  simulation.Restart(leader);
  CHECK(simulation.snapshots_restored() > restored);
  CheckSafe(simulation);
}

// The time without a leader was counted from before this replica led, so its
// log said that there had been none for as long.
TEST(StorageFaults, TimeWithoutALeaderBeginsWhenTheLeaderStepsDown) {
  ClusterSimulation simulation({.voters = voters_, .seed = 5});
  CHECK(simulation.RunUntilLeader());
  simulation.RunFor(Milliseconds(10'000));
  const std::string failed = simulation.Leader();
  simulation.DiskOf(failed).remaining_successful_calls = 0;
  simulation.Propose(failed);
  simulation.RunFor(Milliseconds(500));
  CHECK(simulation.At(failed).Status().is_observer);
  CHECK(*simulation.At(failed).core()->TimeWithoutLeader() <
        Milliseconds(1'000));
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
