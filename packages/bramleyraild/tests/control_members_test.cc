#include "packages/bramleyraild/control_members.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

using NameList = std::vector<std::string>;

std::string Join(const ControlMembers::Names& names) {
  return absl::StrJoin(names, " ");
}

TEST_GROUP(ControlMembers) {
  ControlMembers members_{"control-10.0.0.9"};
};

// Guards against machines that stay known for ever once they were replaced, and
// against the loss of a seed that the leader does not list.
TEST(ControlMembers, ListReplacesTheLastOneAndLeavesTheSeeds) {
  members_.SetSeeds(NameList{"control-10.0.0.1"});
  members_.SetListed(NameList{"control-10.0.0.1", "control-10.0.0.2"});
  const ControlMembers::Change change =
      members_.SetListed(NameList{"control-10.0.0.3"});
  STRCMP_EQUAL("control-10.0.0.3", Join(change.added).c_str());
  STRCMP_EQUAL("control-10.0.0.2", Join(change.removed).c_str());
  STRCMP_EQUAL("control-10.0.0.1 control-10.0.0.3",
               Join(members_.names()).c_str());
}

// Guards against new settings that cut off a member of the core, and against a
// file without instances that leaves nothing to call.
TEST(ControlMembers, NewSeedsReplaceTheOldOnesAndLeaveTheMembers) {
  members_.SetSeeds(NameList{"control-10.0.0.1", "control-10.0.0.2"});
  members_.SetListed(NameList{"control-10.0.0.2"});
  const ControlMembers::Change change =
      members_.SetSeeds(NameList{"control-10.0.0.3"});
  STRCMP_EQUAL("control-10.0.0.1", Join(change.removed).c_str());
  CHECK(members_.SetSeeds({}).empty());
  STRCMP_EQUAL("control-10.0.0.2 control-10.0.0.3",
               Join(members_.names()).c_str());
}

// Guards against a set that grows with each leader that is named.
TEST(ControlMembers, OnlyTheLastNamedLeaderIsKept) {
  members_.SetNamedLeader("control-10.0.0.1");
  const ControlMembers::Change change =
      members_.SetNamedLeader("control-10.0.0.2");
  STRCMP_EQUAL("control-10.0.0.1", Join(change.removed).c_str());
  members_.SetListed(NameList{"control-10.0.0.3"});
  STRCMP_EQUAL("control-10.0.0.3", Join(members_.names()).c_str());
}

// Guards against the loss of an instance that the replica sends to when the
// leader that was named changes.
TEST(ControlMembers, AddedInstanceOutlivesTheOtherSources) {
  members_.SetNamedLeader("control-10.0.0.1");
  CHECK(members_.Add("control-10.0.0.1").empty());
  CHECK(members_.Add("control-10.0.0.1").empty());
  members_.SetNamedLeader("control-10.0.0.2");
  STRCMP_EQUAL("control-10.0.0.1 control-10.0.0.2",
               Join(members_.names()).c_str());
}

// Guards against dialling what is no control instance, or the instance itself.
TEST(ControlMembers, NamesWithoutAnAddressAndTheOwnNameAreIgnored) {
  members_.SetListed(NameList{"control-", "control-host", "control-10.0.0.9",
                              "gateway-10.0.0.1", "", "control-10.0.0.1:80"});
  CHECK(members_.names().empty());
  CHECK(members_.Add("control-host").empty());
  CHECK(members_.SetNamedLeader("10.0.0.1").empty());
}

// Guards against a list that makes the instance dial without bound.
TEST(ControlMembers, ListIsBounded) {
  NameList names;
  for (size_t i = 0; i < 2 * ControlMembers::kMaximumListed; ++i) {
    names.push_back(absl::StrCat("control-10.0.1.", i));
  }
  members_.SetListed(names);
  LONGS_EQUAL(ControlMembers::kMaximumListed, members_.names().size());
}

}  // namespace
}  // namespace bramleyrail
