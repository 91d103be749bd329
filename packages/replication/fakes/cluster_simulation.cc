#include "packages/replication/fakes/cluster_simulation.h"

#include <algorithm>

namespace bramleyrail {

namespace {

constexpr int64_t kTickMicroseconds = 20'000;
constexpr int64_t kMicrosecondsPerMillisecond = 1000;
constexpr int64_t kRunLimitMicroseconds = 60'000'000;
constexpr uint64_t kLogCheckIntervalEvents = 500;

Bytes ToBytes(std::string_view text) {
  const std::span<const std::byte> bytes = AsBytes(text);
  return Bytes(bytes.begin(), bytes.end());
}

}  // namespace

ClusterSimulation::ClusterSimulation(Options options)
    : options_(std::move(options)), random_(options_.seed) {
  names_ = options_.voters;
  names_.insert(names_.end(), options_.observers.begin(),
                options_.observers.end());
  const std::vector<std::string> started = names_;
  names_.insert(names_.end(), options_.spares.begin(), options_.spares.end());
  double direction = 1;
  for (const std::string& name : names_) {
    Instance& instance = instances_[name];
    if (name.starts_with("observer")) {
      instance.disk = nullptr;
    } else {
      instance.disk = std::make_shared<FakeDisk>();
    }
    instance.clock_rate = 1 + direction * options_.clock_rate_difference;
    direction = -direction;
  }
  for (const std::string& name : started) {
    Restart(name);
  }
}

ClusterSimulation::~ClusterSimulation() {
  stopping_ = true;
}

double ClusterSimulation::Random() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

MonotonicTime ClusterSimulation::NowAt(const std::string& name) const {
  const double local =
      static_cast<double>(now_) * instances_.at(name).clock_rate;
  // Monotonic clocks do not start at 0.
  return MonotonicTime(std::chrono::hours(1) +
                       std::chrono::microseconds(static_cast<int64_t>(local)));
}

ReplicaOptions ClusterSimulation::DriverOptions(const std::string& name) {
  Instance* instance = &instances_[name];
  ReplicaOptions options;
  options.instance_name = name;
  options.disk = instance->disk;
  options.initial_voters = options_.voters;
  options.target_voters = options_.target_voters;
  options.peers = options_.peers.empty() ? names_ : options_.peers;
  options.seed = random_();
  options.snapshot_entries = options_.snapshot_entries;
  // Enough that the checker reads every entry before it is compacted.
  options.retained_entries = 4 * options_.snapshot_entries;
  options.unique_number = [this] { return random_(); };
  options.send = [this, name](std::string_view peer,
                              std::span<const std::byte> bytes) {
    return Send(name, std::string(peer), Bytes(bytes.begin(), bytes.end()));
  };
  options.apply = [this, instance](LogIndex index,
                                   std::span<const std::byte> command) {
    instance->applied_hash = Hash64(AsText(command), instance->applied_hash);
    checker_.ObserveApplied(index, instance->applied_hash);
    checker_.ObserveCommand(std::string(AsText(command)));
    return Bytes();
  };
  options.snapshot = [this, instance] {
    Bytes data;
    ByteWriter(&data).Integer<uint64_t>(instance->applied_hash);
    data.resize(options_.snapshot_bytes);
    return data;
  };
  options.restore = [this, instance](std::span<const std::byte> data) {
    ++snapshots_restored_;
    instance->applied_hash = *ByteReader(data).Integer<uint64_t>();
  };
  return options;
}

void ClusterSimulation::Restart(const std::string& name) {
  Instance& instance = instances_[name];
  if (instance.driver) {
    return;
  }
  instance.applied_hash = 0;
  checker_.ObserveRestart(name);
  Result<std::unique_ptr<ReplicaDriver>> created =
      ReplicaDriver::Create(DriverOptions(name));
  if (created.has_error() &&
      (created.error().kind == ErrorKind::kStorage ||
       created.error().kind == ErrorKind::kResourceExhausted)) {
    // The disk failed during recovery, or the process lacked descriptors for
    // it, and ended. The cause is gone when the process is started again, and
    // the disk retains its content.
    instance.disk = instance.disk->Crash(0, false);
    created = ReplicaDriver::Create(DriverOptions(name));
  }
  if (created.has_error()) {
    checker_.Fail(name + " does not start: " + created.error().ToString());
    return;
  }
  instance.driver = std::move(created).value();
  instance.driver->Start(NowAt(name));
  ScheduleTick(name, ++instance.process);
}

void ClusterSimulation::Crash(const std::string& name,
                              size_t surviving_bytes,
                              bool garbled) {
  Instance& instance = instances_[name];
  if (!instance.driver) {
    return;
  }
  instance.driver->Stop();
  instance.driver = nullptr;
  instance.queued_while_paused.clear();
  if (instance.disk) {
    instance.disk = instance.disk->Crash(surviving_bytes, garbled);
  }
}

void ClusterSimulation::LoseDisk(const std::string& name) {
  Crash(name, 0, false);
  checker_.ObserveLostDisk(name);
  instances_[name].disk = std::make_shared<FakeDisk>();
}

void ClusterSimulation::CutLink(const std::string& from,
                                const std::string& to) {
  cut_links_.emplace(from, to);
}

void ClusterSimulation::Isolate(const std::string& name) {
  for (const std::string& other : names_) {
    CutLink(name, other);
    CutLink(other, name);
  }
}

void ClusterSimulation::TransferLeadership(const std::string& name) {
  ReplicaDriver::Input input;
  input.transfer_leadership = true;
  Step(name, std::move(input));
}

void ClusterSimulation::ProposeTogether(const std::string& name, int count) {
  if (!IsUp(name)) {
    return;
  }
  ReplicaDriver::Input input;
  for (int position = 0; position < count; ++position) {
    const std::string command = "command-" + std::to_string(++proposals_);
    checker_.ObserveSubmitted(command);
    const auto callback = [this, command](const Result<Bytes>& result) {
      if (!stopping_) {
        checker_.ObserveOutcome(command, result);
        successes_ += result.has_value() ? 1 : 0;
      }
    };
    input.proposals.push_back(
        {ToBytes(command), callback, NowAt(name) + Milliseconds(5000)});
  }
  Step(name, std::move(input));
}

void ClusterSimulation::Schedule(int64_t delay, std::function<void()> run) {
  queue_.push({now_ + delay, ++sequence_, std::move(run)});
}

void ClusterSimulation::ScheduleTick(const std::string& name,
                                     uint64_t process) {
  Schedule(kTickMicroseconds, [this, name, process] {
    if (instances_[name].process != process || !IsUp(name)) {
      return;
    }
    ReplicaDriver::Input input;
    if (!paused_.contains(name)) {
      input.messages = std::exchange(instances_[name].queued_while_paused, {});
    }
    Step(name, std::move(input));
    ScheduleTick(name, process);
  });
}

bool ClusterSimulation::Send(const std::string& from,
                             const std::string& to,
                             Bytes bytes) {
  const Result<WireMessage> decoded = DecodeWireMessage(bytes);
  if (decoded.has_error()) {
    checker_.ObserveOutcome("undecodable message", decoded.error());
    return false;
  }
  if (const auto* message = std::get_if<ConsensusMessage>(&decoded.value())) {
    checker_.ObserveMessage(from, *message);
  }
  if (!instances_.contains(to)) {
    return false;
  }
  if (cut_links_.contains({from, to}) || Random() < options_.drop_probability) {
    return true;
  }
  const auto delay = static_cast<int64_t>(
      Random() * static_cast<double>(options_.maximum_delay.count() *
                                     kMicrosecondsPerMillisecond));
  Schedule(delay, [this, from, to, bytes = std::move(bytes)] {
    Deliver(from, to, bytes);
  });
  return true;
}

void ClusterSimulation::Deliver(const std::string& from,
                                const std::string& to,
                                Bytes bytes) {
  if (!IsUp(to)) {
    return;
  }
  if (paused_.contains(to)) {
    instances_[to].queued_while_paused.emplace_back(from, std::move(bytes));
    return;
  }
  ReplicaDriver::Input input;
  input.messages.emplace_back(from, std::move(bytes));
  Step(to, std::move(input));
}

void ClusterSimulation::Step(const std::string& name,
                             ReplicaDriver::Input input) {
  if (paused_.contains(name) && input.proposals.empty()) {
    return;
  }
  Instance& instance = instances_[name];
  instance.driver->Step(NowAt(name), std::move(input));
  const ReplicaCore* core = instance.driver->core();
  if (core == nullptr) {
    return;
  }
  int64_t fresh_at = -1;
  if (const auto fresh = instance.driver->FreshAsOf()) {
    const auto local = std::chrono::duration_cast<std::chrono::microseconds>(
        *fresh - MonotonicTime(std::chrono::hours(1)));
    fresh_at = static_cast<int64_t>(static_cast<double>(local.count()) /
                                    instance.clock_rate);
    // Reduced by 1 us to allow for rounding.
    fresh_at = std::max<int64_t>(fresh_at - 1, 0);
  }
  checker_.ObserveStep(name, *core, now_, fresh_at);
  std::vector<std::string> holders;
  for (const auto& [other, state] : instances_) {
    const auto end = state.driver && state.driver->core()
                         ? state.driver->core()->LeaseEnd()
                         : std::nullopt;
    if (end && NowAt(other) < *end) {
      holders.push_back(other);
    }
  }
  checker_.ObserveLeases(holders);
}

void ClusterSimulation::RunFor(Milliseconds duration) {
  const int64_t end = now_ + duration.count() * kMicrosecondsPerMillisecond;
  while (!queue_.empty() && queue_.top().time <= end) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.time;
    event.run();
    ++events_;
    if (events_ % kLogCheckIntervalEvents != 0) {
      continue;
    }
    for (const auto& [left, left_state] : instances_) {
      for (const auto& [right, right_state] : instances_) {
        if (left < right && left_state.driver && right_state.driver &&
            left_state.driver->core() && right_state.driver->core()) {
          checker_.CheckLogsMatch(*left_state.driver->core(),
                                  *right_state.driver->core());
        }
      }
    }
  }
  now_ = end;
}

bool ClusterSimulation::RunUntil(const std::function<bool()>& condition) {
  const int64_t limit = now_ + kRunLimitMicroseconds;
  while (!condition()) {
    if (now_ > limit) {
      return false;
    }
    RunFor(Milliseconds(5));
  }
  return true;
}

bool ClusterSimulation::RunUntilLeader() {
  return RunUntil([this] { return !Leader().empty(); });
}

bool ClusterSimulation::RunUntilConverged() {
  return RunUntil([this] {
    return !Leader().empty() &&
           std::all_of(names_.begin(), names_.end(),
                       [this](const std::string& name) {
                         const ReplicaCore* core =
                             IsUp(name) ? At(name).core() : nullptr;
                         return core != nullptr &&
                                core->applied_index() == checker_.committed();
                       });
  });
}

std::string ClusterSimulation::Describe() const {
  std::string text = "committed " + std::to_string(checker_.committed()) + "; ";
  const auto append = [&text](const std::vector<ReplicaId>& ids) {
    for (const ReplicaId& id : ids) {
      text += " " + id.ToString();
    }
  };
  for (const auto& [name, instance] : instances_) {
    text += name;
    if (!instance.driver || instance.driver->core() == nullptr) {
      text += " has no core; ";
      continue;
    }
    const ReplicaCore& core = *instance.driver->core();
    text += " = " + core.id().ToString() + " ";
    text += ReplicaRoleName(core.role());
    text += " term " + std::to_string(core.term()) + " applied " +
            std::to_string(core.applied_index()) + " last " +
            std::to_string(core.last_index()) + " voters";
    append(core.configuration().voters);
    text += " learners";
    append(core.configuration().learners);
    text += "; ";
  }
  return text;
}

std::string ClusterSimulation::Leader() const {
  for (const auto& [name, instance] : instances_) {
    const auto end =
        instance.driver ? instance.driver->LeaseEnd() : std::nullopt;
    if (end && NowAt(name) < *end) {
      return name;
    }
  }
  return "";
}

bool ClusterSimulation::IsUp(const std::string& name) const {
  return instances_.at(name).driver != nullptr;
}

const ReplicaDriver& ClusterSimulation::At(const std::string& name) const {
  return *instances_.at(name).driver;
}

FakeDisk& ClusterSimulation::DiskOf(const std::string& name) {
  return *instances_.at(name).disk;
}

bool ClusterSimulation::IsRepaired() const {
  const std::string leader = Leader();
  if (leader.empty()) {
    return false;
  }
  const ReplicaCore& core = *At(leader).core();
  const Configuration configuration = core.ConfigurationAt(core.commit_index());
  return configuration == core.configuration() &&
         configuration.voters.size() == options_.voters.size() &&
         std::all_of(configuration.voters.begin(), configuration.voters.end(),
                     [this](const ReplicaId& id) {
                       return IsUp(id.name) && At(id.name).core() != nullptr &&
                              At(id.name).core()->id() == id;
                     });
}

}  // namespace bramleyrail
