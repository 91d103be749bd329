#include "packages/replication/fakes/replica_cluster.h"
#include "packages/storage/fakes/fake_disk.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

std::vector<std::string> ThreeVoters() {
  return {"a", "b", "c"};
}

TEST_GROUP(Replica){
    std::shared_ptr<FakeDisk> NewDisk(){return std::make_shared<FakeDisk>();
}  // namespace
};  // namespace bramleyrail

// The only voter of a cluster must not wait for the votes of other instances.
TEST(Replica, SingleVoterKeepsItsCommandsOverARestart) {
  ReplicaCluster cluster({"a"}, {"a"});
  const auto disk = NewDisk();
  cluster.Start("a", disk);
  STRCMP_EQUAL("applied one", cluster.Propose("a", "one").value().c_str());
  cluster.Stop("a");
  cluster.Start("a", disk);
  STRCMP_EQUAL("applied two", cluster.Propose("a", "two").value().c_str());
  CHECK((cluster.Applied("a") == std::vector<std::string>{"one", "two"}));
  CHECK(ReplicaCluster::WaitFor(
      [&] { return cluster.At("a").StateAge().has_value(); }));
}

// Each instance, not only the leader, accepts proposals, and followers apply
// what the leader committed.
TEST(Replica, EveryInstanceProposesAndAppliesInOneOrder) {
  ReplicaCluster cluster(ThreeVoters(), {"a", "b", "c", "observer"});
  for (const std::string& name : ThreeVoters()) {
    cluster.Start(name, NewDisk());
  }
  cluster.Start("observer", nullptr);
  for (const char* name : {"a", "b", "c", "observer"}) {
    CHECK(cluster.Propose(name, name).has_value());
  }
  for (const char* name : {"a", "b", "c", "observer"}) {
    CHECK(ReplicaCluster::WaitFor(
        [&] { return cluster.Applied(name).size() == 4; }));
    CHECK(cluster.Applied(name) == cluster.Applied("a"));
    CHECK(ReplicaCluster::WaitFor(
        [&] { return cluster.At(name).StateAge().has_value(); }));
  }
  CHECK(cluster.At("observer").Status().is_observer);
  LONGS_EQUAL(3, cluster.At("observer").Status().voters.size());
}

}  // namespace
}  // namespace bramleyrail
