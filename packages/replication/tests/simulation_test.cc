#include <rapidcheck.h>

#include "packages/replication/fakes/cluster_simulation.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr uint64_t kFaultKinds = 14;
constexpr uint64_t kSeeds = 60;
constexpr int kRoundsPerSeed = 200;

std::vector<std::string> ThreeVoters() {
  return {"a", "b", "c"};
}

struct Fault {
  uint64_t kind = 0;      // Below kFaultKinds.
  uint64_t instance = 0;  // Modulo the number of instances.
  uint64_t amount = 0;
};

void Apply(ClusterSimulation* simulation, const Fault& fault) {
  const std::vector<std::string>& names = simulation->names();
  const std::string& name = names[fault.instance % names.size()];
  const std::string& other = names[fault.amount % names.size()];
  const bool has_disk = !name.starts_with("observer");
  switch (fault.kind) {
    case 0:
    case 1:
      simulation->Crash(name, fault.amount % 200, fault.amount % 2 == 0);
      break;
    case 2:
      simulation->Isolate(name);
      break;
    case 3:
      simulation->CutLink(name, other);
      break;
    case 4:
      simulation->HealLinks();
      break;
    case 5:
      // Two disks lost at once are a lost quorum, from which the cluster cannot
      // recover.
      if (simulation->IsRepaired() && has_disk) {
        simulation->LoseDisk(name);
      }
      break;
    case 6:
      if (has_disk) {
        simulation->DiskOf(name).remaining_successful_calls =
            static_cast<int>(fault.amount % 20);
      }
      break;
    case 7:
      simulation->Pause(name);
      break;
    case 8:
      if (simulation->IsUp(name)) {
        simulation->TransferLeadership(name);
      }
      break;
    case 9:
      if (has_disk) {
        bool& free = simulation->DiskOf(name).has_free_descriptors;
        free = !free;
      }
      break;
    case 10:
      // The disk works again while its process runs.
      if (has_disk) {
        simulation->DiskOf(name).remaining_successful_calls = std::nullopt;
      }
      break;
    default:
      for (const std::string& each : names) {
        simulation->Resume(each);
        simulation->Restart(each);
      }
  }
  for (int proposal = 0; proposal < 5; ++proposal) {
    simulation->Propose(names[(fault.amount + proposal) % names.size()]);
    simulation->RunFor(Milliseconds(100));
  }
}

// Ends all faults, and restarts the instances, so that each recovers from its
// disk.
void HealEverything(ClusterSimulation* simulation) {
  simulation->HealLinks();
  for (const std::string& name : simulation->names()) {
    if (!name.starts_with("observer")) {
      simulation->DiskOf(name).remaining_successful_calls = std::nullopt;
      simulation->DiskOf(name).has_free_descriptors = true;
    }
    simulation->Crash(name, 0, false);
    simulation->Resume(name);
    simulation->Restart(name);
  }
}

// Returns "" when the log stayed safe, the cluster recovered, and each proposal
// got exactly one callback; else a description of the failure.
std::string RecoverAndCheck(ClusterSimulation* simulation) {
  HealEverything(simulation);
  const bool converged = simulation->RunUntilConverged();
  simulation->RunFor(Milliseconds(6000));
  simulation->checker().CheckOutcomes();
  if (!simulation->checker().violation().empty()) {
    return simulation->checker().violation();
  }
  return converged ? "" : "no recovery: " + simulation->Describe();
}

ClusterSimulation::Options FaultyOptions(uint64_t seed) {
  return {.voters = ThreeVoters(),
          .observers = {"observer"},
          .seed = seed,
          .drop_probability = 0.05,
          .maximum_delay = Milliseconds(60),
          .clock_rate_difference = 0.02};
}

TEST_GROUP(Simulation){void CheckSafe(ClusterSimulation & simulation){
    STRCMP_EQUAL("", simulation.checker().violation().c_str());
}  // namespace
};  // namespace bramleyrail

// Long random sequences of crashes, torn writes, failed and lost disks, cut
// links and pauses must not violate the guarantees of the log.
TEST(Simulation, RandomFaultsKeepTheLogSafeAndItRecovers) {
  uint64_t events = 0;
  int restored = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(FaultyOptions(seed));
    std::mt19937_64 random(seed);
    for (int round = 0; round < kRoundsPerSeed; ++round) {
      Apply(&simulation, {random() % kFaultKinds, random(), random()});
    }
    const std::string failure = RecoverAndCheck(&simulation);
    STRCMP_EQUAL_TEXT("", failure.c_str(), std::to_string(seed).c_str());
    CHECK(simulation.successes() > 0);
    restored += simulation.snapshots_restored();
    events += simulation.events();
  }
  // The sequences covered enough events and snapshots.
  CHECK(events > 1'000'000);
  CHECK(restored > 100);
}

// Short random sequences of the same faults; rapidcheck reduces a failing
// sequence to a minimal one.
TEST(Simulation, NoShortSequenceOfFaultsLosesSafety) {
  const auto fault = rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<uint64_t>(0, kFaultKinds),
                     rc::gen::inRange<uint64_t>(0, 4),
                     rc::gen::inRange<uint64_t>(0, 1000)),
      [](const std::tuple<uint64_t, uint64_t, uint64_t>& draw) {
        return std::apply([](auto... parts) { return Fault{parts...}; }, draw);
      });
  CHECK(rc::check("faults", [&] {
    const auto faults = *rc::gen::container<std::vector<Fault>>(fault);
    ClusterSimulation simulation(
        FaultyOptions(*rc::gen::arbitrary<uint64_t>()));
    simulation.RunUntilLeader();
    for (const Fault& each : faults) {
      Apply(&simulation, each);
    }
    RC_ASSERT(RecoverAndCheck(&simulation) == std::string());
  }));
}

// A leader that lost its quorum must stop acting as the leader before another
// one is elected, also when clock rates differ by 5%.
TEST(Simulation, CutOffLeaderStepsDownBeforeAnotherLeads) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    // Links are fast, so that the next leader is elected as early as its
    // timers allow.
    ClusterSimulation simulation({.voters = ThreeVoters(),
                                  .seed = seed,
                                  .maximum_delay = Milliseconds(2),
                                  .clock_rate_difference = 0.025});
    CHECK(simulation.RunUntilLeader());
    const std::string old_leader = simulation.Leader();
    simulation.Isolate(old_leader);
    simulation.Propose(old_leader);
    // The checker fails when two instances hold the lease at the same time.
    CHECK(simulation.RunUntil([&] {
      const std::string leader = simulation.Leader();
      return !leader.empty() && leader != old_leader;
    }));
    CHECK(simulation.At(old_leader).core()->role() != ReplicaRole::kLeader);
    LONGS_EQUAL(0, simulation.successes());
    simulation.HealLinks();
    CHECK(simulation.RunUntilConverged());
    CheckSafe(simulation);
  }
}

// A restarted replica has lost the time of its last contact with the leader. It
// must not help to elect another leader while the lease is still valid.
TEST(Simulation, RestartedFollowerDoesNotVoteDuringTheLease) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = ThreeVoters(),
                                  .seed = seed,
                                  .maximum_delay = Milliseconds(2)});
    CHECK(simulation.RunUntilLeader());
    const std::string leader = simulation.Leader();
    const std::string candidate = leader == "a" ? "b" : "a";
    const std::string follower = leader == "c" ? "b" : "c";
    simulation.CutLink(leader, candidate);
    simulation.CutLink(candidate, leader);
    for (int restart = 0; restart < 100; ++restart) {
      simulation.RunFor(Milliseconds(100));
      simulation.Crash(follower, 0, false);
      simulation.Restart(follower);
    }
    CheckSafe(simulation);
  }
}

// A leader whose lease expired while it was paused must not act on that lease
// after it resumes.
TEST(Simulation, PausedLeaderDoesNotActAfterItsLease) {
  ClusterSimulation simulation({.voters = ThreeVoters(), .seed = 1});
  CHECK(simulation.RunUntilLeader());
  const std::string old_leader = simulation.Leader();
  simulation.Pause(old_leader);
  simulation.RunFor(Milliseconds(5000));
  const std::string leader = simulation.Leader();
  CHECK(!leader.empty());
  CHECK(leader != old_leader);
  simulation.Resume(old_leader);
  simulation.Propose(old_leader);
  CHECK(simulation.RunUntil([&] { return simulation.successes() == 1; }));
  CheckSafe(simulation);
}

// If a repair left the replica of the lost disk in the quorum, a second loss
// right afterwards would stop the cluster.
TEST(Simulation, SecondDiskLostRightAfterARepairIsRepairedToo) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = ThreeVoters(), .seed = seed});
    CHECK(simulation.RunUntilLeader());
    for (int loss = 0; loss < 6; ++loss) {
      const std::string lost =
          loss % 2 == 0 ? simulation.Leader() : ThreeVoters()[seed % 3];
      simulation.Propose(lost);
      simulation.RunFor(Milliseconds(200));
      simulation.LoseDisk(lost);
      simulation.Restart(lost);
      CHECK_TRUE_TEXT(
          simulation.RunUntil([&] { return simulation.IsRepaired(); }),
          simulation.Describe().c_str());
    }
    CHECK(simulation.RunUntilConverged());
    LONGS_EQUAL(6, simulation.successes());
    CheckSafe(simulation);
  }
}

// If a dead voter counted towards the quorum after a machine at another address
// has replaced it, the next lost disk would cost the quorum.
TEST(Simulation, ReplacementUnderAnotherNameTakesTheDeadVotersPlace) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation(
        {.voters = ThreeVoters(), .spares = {"d"}, .seed = seed});
    CHECK(simulation.RunUntilLeader());
    const std::string dead = ThreeVoters()[seed % 3];
    simulation.Crash(dead, 0, false);
    simulation.Restart("d");
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(8'000));
    const std::string wiped = ThreeVoters()[(seed + 1) % 3];
    simulation.LoseDisk(wiped);
    simulation.Restart(wiped);
    simulation.RunFor(Milliseconds(8'000));
    CHECK_TRUE_TEXT(!simulation.Leader().empty(),
                    simulation.Describe().c_str());
    const std::vector<ReplicaId>& voters =
        simulation.At(simulation.Leader()).core()->configuration().voters;
    LONGS_EQUAL(3, voters.size());
    CheckSafe(simulation);
  }
}

// A cluster that stayed at the 3 voters which formed it would stop when two of
// them are lost. An even number of voters is avoided as well, since neither
// half of it has a quorum.
TEST(Simulation, LargerClusterBearsTwoLossesAndKeepsAReserve) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = ThreeVoters(),
                                  .spares = {"d", "e", "f"},
                                  .target_voters = 5,
                                  .seed = seed});
    for (const char* spare : {"d", "e", "f"}) {
      simulation.Restart(spare);
    }
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(5'000));
    const Configuration& formed =
        simulation.At(simulation.Leader()).core()->configuration();
    LONGS_EQUAL(5, formed.voters.size());
    LONGS_EQUAL(1, formed.learners.size());
    const std::string reserve = formed.learners.front().name;
    // The leader and another voter lose their disks at the same moment.
    const std::string first = simulation.Leader();
    const std::string second = formed.voters.front().name == first
                                   ? formed.voters.back().name
                                   : formed.voters.front().name;
    simulation.LoseDisk(first);
    simulation.LoseDisk(second);
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(8'000));
    const Configuration& repaired =
        simulation.At(simulation.Leader()).core()->configuration();
    LONGS_EQUAL(5, repaired.voters.size());
    CHECK(std::any_of(repaired.voters.begin(), repaired.voters.end(),
                      [&](const ReplicaId& id) { return id.name == reserve; }));
    CheckSafe(simulation);
  }
}

// An instance that was replaced as a voter while it was down must not consider
// itself a voter after its restart, since it would never follow the log again.
TEST(Simulation, ReplacedVoterComesBackAsALearner) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation(
        {.voters = ThreeVoters(), .spares = {"d"}, .seed = seed});
    simulation.Restart("d");
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(3'000));
    std::string away = ThreeVoters()[seed % 3];
    simulation.Crash(away, 0, false);
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(6'000));
    simulation.Restart(away);
    simulation.RunFor(Milliseconds(6'000));
    const Configuration& configuration =
        simulation.At(simulation.Leader()).core()->configuration();
    LONGS_EQUAL(3, configuration.voters.size());
    CHECK_TRUE_TEXT(
        std::any_of(configuration.learners.begin(),
                    configuration.learners.end(),
                    [&](const ReplicaId& id) { return id.name == away; }),
        simulation.Describe().c_str());
    CheckSafe(simulation);
  }
}

// An instance with an empty disk must join the cluster also when none of the
// instances in its `peers` option leads.
TEST(Simulation, InstanceJoinsALeaderThatItWasNotToldOf) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ClusterSimulation simulation({.voters = ThreeVoters(),
                                  .spares = {"d", "e", "f"},
                                  .target_voters = 5,
                                  .peers = ThreeVoters(),
                                  .seed = seed});
    for (const char* spare : {"d", "e", "f"}) {
      simulation.Restart(spare);
    }
    CHECK(simulation.RunUntilLeader());
    simulation.RunFor(Milliseconds(5'000));
    for (const char* configured_peer : {"a", "b"}) {
      simulation.Crash(configured_peer, 0, false);
      CHECK(simulation.RunUntilLeader());
      simulation.RunFor(Milliseconds(5'000));
    }
    if (simulation.Leader() == "c") {
      simulation.TransferLeadership("c");
      CHECK(simulation.RunUntil([&] {
        return !simulation.Leader().empty() && simulation.Leader() != "c";
      }));
    }
    const std::string emptied = simulation.Leader() == "d" ? "e" : "d";
    simulation.LoseDisk(emptied);
    simulation.Restart(emptied);
    simulation.RunFor(Milliseconds(8'000));
    const Configuration& configuration =
        simulation.At(simulation.Leader()).core()->configuration();
    CHECK_TRUE_TEXT(configuration.Contains(simulation.At(emptied).core()->id()),
                    simulation.Describe().c_str());
    CheckSafe(simulation);
  }
}

// Without a leader, the log of one machine must tell why it does not lead:
// here, whose answers are missing.
TEST(Simulation, FailedElectionNamesTheMissingAnswers) {
  ClusterSimulation simulation({.voters = ThreeVoters(), .seed = 2});
  CHECK(simulation.RunUntilLeader());
  CHECK(simulation.RunUntil([&] { return simulation.IsRepaired(); }));
  simulation.Crash("a", 0, false);
  simulation.Pause("c");
  simulation.RunFor(Milliseconds(8'000));
  const ReplicaCore& core = *simulation.At("b").core();
  CHECK(core.MayCampaign());
  CHECK(*core.TimeWithoutLeader() > Milliseconds(6'000));
  const ElectionAnswers& answers = core.last_election_answers();
  CHECK((answers.granted == std::vector<ReplicaId>{{"b", 1}}));
  CHECK((answers.missing == std::vector<ReplicaId>{{"a", 1}, {"c", 1}}));
  simulation.Resume("c");
  CHECK(simulation.RunUntilLeader());
  CHECK(!simulation.At(simulation.Leader()).core()->TimeWithoutLeader());
  CheckSafe(simulation);
}

// An observer, which never campaigns, named a leader that was gone for good, so
// requests were relayed to it again and again.
TEST(Simulation, ObserverForgetsALeaderThatIsGone) {
  ClusterSimulation simulation(
      {.voters = ThreeVoters(), .observers = {"observer"}, .seed = 2});
  CHECK(simulation.RunUntilLeader());
  CHECK(simulation.RunUntilConverged());
  CHECK(simulation.At("observer").core()->leader().has_value());
  for (const std::string& name : ThreeVoters()) {
    simulation.Crash(name, 0, false);
  }
  simulation.RunFor(Milliseconds(2'100));
  CHECK(!simulation.At("observer").core()->leader().has_value());
  for (const std::string& name : ThreeVoters()) {
    simulation.Restart(name);
  }
  CHECK(simulation.RunUntilLeader());
  CHECK(simulation.RunUntil(
      [&] { return simulation.At("observer").core()->leader().has_value(); }));
  CheckSafe(simulation);
}

// A snapshot that does not fit into one message is sent in chunks, some of
// which get lost and must be resent.
TEST(Simulation, SnapshotOfManyChunksReachesALaggingFollower) {
  ClusterSimulation simulation({.voters = ThreeVoters(),
                                .seed = 3,
                                .drop_probability = 0.1,
                                .snapshot_entries = 20,
                                .snapshot_bytes = 40 * kSnapshotChunkBytes});
  CHECK(simulation.RunUntilLeader());
  simulation.Crash("c", 0, false);
  for (int proposal = 0; proposal < 200; ++proposal) {
    simulation.Propose("a");
    simulation.RunFor(Milliseconds(50));
  }
  simulation.Restart("c");
  CHECK(simulation.RunUntilConverged());
  CHECK(simulation.snapshots_restored() > 0);
  CheckSafe(simulation);
}

// A planned stop of the leader must not cost an election timeout.
TEST(Simulation, TransferMovesLeadershipWithoutAnElectionTimeout) {
  ClusterSimulation simulation({.voters = ThreeVoters(), .seed = 4});
  CHECK(simulation.RunUntilLeader());
  const std::string old_leader = simulation.Leader();
  simulation.TransferLeadership(old_leader);
  simulation.RunFor(Milliseconds(300));
  CHECK(!simulation.Leader().empty());
  CHECK(simulation.Leader() != old_leader);
  CheckSafe(simulation);
}

// The campaign of a leadership transfer disregards leases, so the old leader
// must release its lease when the transfer starts.
TEST(Simulation, TransferGivesUpTheLeaseAtOnce) {
  ClusterSimulation simulation({.voters = ThreeVoters(), .seed = 7});
  CHECK(simulation.RunUntilLeader());
  CHECK(simulation.RunUntilConverged());
  simulation.RunFor(Milliseconds(500));
  const std::string old_leader = simulation.Leader();
  for (const std::string& name : ThreeVoters()) {
    simulation.CutLink(name, old_leader);
  }
  simulation.TransferLeadership(old_leader);
  simulation.RunFor(Milliseconds(300));
  CHECK(!simulation.Leader().empty());
  CHECK(simulation.Leader() != old_leader);
  CheckSafe(simulation);
}

// One sync for each proposal would limit the rate of changes to the sync rate
// of the disk.
TEST(Simulation, ProposalsOfOneStepShareASync) {
  ClusterSimulation simulation({.voters = {"a"}, .seed = 6});
  CHECK(simulation.RunUntilLeader());
  const int syncs = simulation.DiskOf("a").syncs;
  simulation.ProposeTogether("a", 30);
  LONGS_EQUAL(30, simulation.successes());
  LONGS_EQUAL(syncs + 1, simulation.DiskOf("a").syncs);
}

}  // namespace
}  // namespace bramleyrail
