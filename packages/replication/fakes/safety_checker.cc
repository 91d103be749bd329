#include "packages/replication/fakes/safety_checker.h"

#include <algorithm>

namespace bramleyrail {

void SafetyChecker::Fail(const std::string& message) {
  if (violation_.empty()) {
    violation_ = message;
  }
}

void SafetyChecker::ObserveStep(const std::string& name,
                                const ReplicaCore& core,
                                int64_t global_now,
                                int64_t fresh_at) {
  ids_[name] = core.id();
  if (core.role() == ReplicaRole::kLeader) {
    CheckLeader(core);
  }
  CheckCommitted(name, core);
  if (commit_times_.empty() || commit_times_.back().second != committed()) {
    commit_times_.emplace_back(global_now, committed());
  }
  if (fresh_at >= 0) {
    const auto after =
        std::upper_bound(commit_times_.begin(), commit_times_.end(),
                         std::pair<int64_t, LogIndex>(fresh_at, UINT64_MAX));
    if (after != commit_times_.begin() &&
        std::prev(after)->second > core.applied_index()) {
      Fail("freshness: " + name +
           " lacks an entry that was committed at its freshness time");
    }
  }
}

void SafetyChecker::CheckLeader(const ReplicaCore& core) {
  const auto [position, is_new] = leaders_.emplace(core.term(), core.id());
  if (position->second != core.id()) {
    Fail("election safety: two leaders in term " + std::to_string(core.term()));
  }
  if (!is_new) {
    return;
  }
  for (LogIndex index = committed(); index > 0; --index) {
    const std::optional<Term> term = core.TermAt(index);
    if (!term && index <= core.commit_index()) {
      return;  // Compacted.
    }
    if (term != committed_[index - 1].term) {
      Fail("leader completeness: " + core.id().ToString() + " lacks entry " +
           std::to_string(index));
      return;
    }
  }
}

void SafetyChecker::CheckCommitted(const std::string& name,
                                   const ReplicaCore& core) {
  LogIndex& checked = checked_index_[name];
  for (; checked < core.commit_index(); ++checked) {
    const LogIndex index = checked + 1;
    if (!core.TermAt(index) || !core.TermAt(index - 1)) {
      continue;  // Covered by a snapshot; ObserveApplied() compares its state.
    }
    const LogEntry entry = core.EntriesBetween(index, index).front();
    if (index > committed() + 1) {
      Fail("committed entries: " + name + " skipped some before " +
           std::to_string(index) + " after " + std::to_string(committed()) +
           " role " + std::string(ReplicaRoleName(core.role())) + " commit " +
           std::to_string(core.commit_index()) + " last " +
           std::to_string(core.last_index()));
    } else if (index == committed() + 1) {
      committed_.push_back(entry);
    } else if (committed_[index - 1] != entry) {
      Fail("committed entries: " + name + " has a different entry " +
           std::to_string(index));
    }
  }
}

void SafetyChecker::ObserveMessage(const std::string& name,
                                   const ConsensusMessage& message) {
  if (lost_ids_.contains(message.from)) {
    Fail("lost disk: " + name +
         " sent a message under the id of its lost disk");
  }
  const bool granted =
      message.type == MessageType::kVoteResponse && !message.rejected;
  if (granted || message.type == MessageType::kVoteRequest) {
    const ReplicaId& candidate = granted ? message.to : message.from;
    const auto [position, is_new] =
        votes_.emplace(std::pair(message.from, message.term), candidate);
    if (position->second != candidate) {
      Fail("votes: " + message.from.ToString() + " voted twice in term " +
           std::to_string(message.term));
    }
  }
}

void SafetyChecker::ObserveLeases(const std::vector<std::string>& holders) {
  if (holders.size() > 1) {
    Fail("lease: " + holders[0] + " and " + holders[1] +
         " hold it at the same time");
  }
}

void SafetyChecker::ObserveRestart(const std::string& name) {
  checked_index_[name] = 0;
}

void SafetyChecker::ObserveLostDisk(const std::string& name) {
  // A cluster that has never had a leader has no history to protect, and the
  // instance may then use the first generation again.
  if (!leaders_.empty() && ids_.contains(name)) {
    lost_ids_.insert(ids_[name]);
  }
}

void SafetyChecker::ObserveApplied(LogIndex index, uint64_t state_hash) {
  const auto [position, is_new] = state_hashes_.emplace(index, state_hash);
  if (position->second != state_hash) {
    Fail("state: different states after entry " + std::to_string(index));
  }
}

void SafetyChecker::ObserveCommand(const std::string& command) {
  applied_commands_.insert(command);
  if (rejected_commands_.contains(command)) {
    Fail("outcome: " + command + " was applied after kUnavailable");
  }
}

void SafetyChecker::ObserveSubmitted(const std::string& command) {
  outcomes_[command] = 0;
}

void SafetyChecker::ObserveOutcome(const std::string& command,
                                   const Result<Bytes>& result) {
  if (++outcomes_[command] > 1) {
    Fail("outcome: two callbacks for " + command);
  }
  if (result.has_value()) {
    if (!applied_commands_.contains(command)) {
      Fail("outcome: " + command + " succeeded without being applied");
    }
    return;
  }
  if (result.error().kind == ErrorKind::kUnavailable) {
    rejected_commands_.insert(command);
    if (applied_commands_.contains(command)) {
      Fail("outcome: kUnavailable for " + command + ", which was applied");
    }
  }
}

void SafetyChecker::CheckLogsMatch(const ReplicaCore& left,
                                   const ReplicaCore& right) {
  bool must_match = false;
  for (LogIndex index = std::min(left.last_index(), right.last_index());
       index > 0; --index) {
    if (!left.TermAt(index) || !right.TermAt(index) ||
        !left.TermAt(index - 1) || !right.TermAt(index - 1)) {
      return;  // Compacted.
    }
    const bool same_term = left.TermAt(index) == right.TermAt(index);
    must_match = must_match || same_term;
    if (must_match && left.EntriesBetween(index, index) !=
                          right.EntriesBetween(index, index)) {
      Fail("log matching: " + left.id().ToString() + " and " +
           right.id().ToString() + " differ at " + std::to_string(index));
      return;
    }
  }
}

void SafetyChecker::CheckOutcomes() {
  for (const auto& [command, count] : outcomes_) {
    if (count != 1) {
      Fail("outcome: " + std::to_string(count) + " callbacks for " + command);
    }
  }
}

}  // namespace bramleyrail
