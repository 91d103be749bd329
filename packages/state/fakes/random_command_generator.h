#ifndef PACKAGES_STATE_FAKES_RANDOM_COMMAND_GENERATOR_H_
#define PACKAGES_STATE_FAKES_RANDOM_COMMAND_GENERATOR_H_

#include <cstdint>
#include <random>
#include <string>

#include "packages/state/state.h"

namespace bramleyrail {

// Generates random commands that use only a few names, so that they often
// conflict. Ids and boot ids come from the state but are sometimes wrong, as
// those of a proposer with outdated state are.
class RandomCommandGenerator {
 public:
  explicit RandomCommandGenerator(uint64_t seed) : random_(seed) {}

  Command Next(const ClusterState& state);

 private:
  bool OneIn(int count) { return Number(0, count - 1) == 0; }
  int64_t Number(int64_t low, int64_t high);
  std::string Name(const char* prefix, int count);
  std::string NewUid();
  std::string ChangeId();
  const Task* RandomTask(const ClusterState& state);
  std::string BootIdOf(const ClusterState& state, const std::string& worker);
  ResourceDeclaration Declaration(const ClusterState& state);
  CommandBody FirstDeclarations();
  CommandBody OperatorChange(const ClusterState& state);
  CommandBody WorkerChange(const ClusterState& state);
  CommandBody AttemptChange(const ClusterState& state);
  CommandBody Reports(const ClusterState& state);
  CommandBody ClaimChange();

  std::mt19937_64 random_;
  int64_t next_uid_ = 1;
  int64_t now_unix_ms_ = 1'000;
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_FAKES_RANDOM_COMMAND_GENERATOR_H_
