#include "packages/replication/fakes/replica_cluster.h"

#include <chrono>
#include <thread>
#include <utility>

#include "absl/synchronization/notification.h"

namespace bramleyrail {

namespace {

constexpr std::chrono::seconds kWaitTimeout{60};

Bytes ToBytes(std::string_view text) {
  const std::span<const std::byte> bytes = AsBytes(text);
  return Bytes(bytes.begin(), bytes.end());
}

}  // namespace

ReplicaCluster::ReplicaCluster(std::vector<std::string> initial_voters,
                               std::vector<std::string> peers)
    : initial_voters_(std::move(initial_voters)), peers_(std::move(peers)) {}

ReplicaCluster::~ReplicaCluster() {
  for (const std::string& name : peers_) {
    Stop(name);
  }
}

void ReplicaCluster::Start(const std::string& name,
                           std::shared_ptr<Disk> disk) {
  auto instance = std::make_shared<Instance>();
  Instance* state = instance.get();
  Replica::Options options;
  options.instance_name = name;
  options.disk = std::move(disk);
  options.initial_voters = initial_voters_;
  options.peers = peers_;
  options.send = [this, name](std::string_view peer,
                              std::span<const std::byte> bytes) {
    return Deliver(name, std::string(peer), bytes);
  };
  options.apply = [state](LogIndex, std::span<const std::byte> command) {
    absl::MutexLock lock(&state->mutex);
    state->applied.emplace_back(AsText(command));
    return ToBytes("applied " + state->applied.back());
  };
  options.snapshot = [state] {
    absl::MutexLock lock(&state->mutex);
    Bytes data;
    for (const std::string& command : state->applied) {
      ByteWriter(&data).Text(command);
    }
    return data;
  };
  options.restore = [state](std::span<const std::byte> data) {
    absl::MutexLock lock(&state->mutex);
    state->applied.clear();
    ByteReader reader(data);
    while (!reader.AtEnd()) {
      state->applied.push_back(*reader.Text());
    }
  };
  instance->replica = Replica::Create(std::move(options)).value();
  {
    absl::MutexLock lock(&mutex_);
    instances_[name] = instance;
  }
  instance->replica->Start();
}

void ReplicaCluster::Stop(const std::string& name) {
  std::shared_ptr<Instance> instance;
  {
    absl::MutexLock lock(&mutex_);
    const auto position = instances_.find(name);
    if (position == instances_.end()) {
      return;
    }
    instance = std::move(position->second);
    instances_.erase(position);
  }
  instance->replica->Stop();
}

void ReplicaCluster::Isolate(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  isolated_.insert(name);
}

void ReplicaCluster::Heal(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  isolated_.erase(name);
}

bool ReplicaCluster::Deliver(const std::string& from,
                             const std::string& to,
                             std::span<const std::byte> bytes) {
  std::shared_ptr<Instance> instance;
  {
    absl::MutexLock lock(&mutex_);
    const auto position = instances_.find(to);
    if (position == instances_.end()) {
      return false;
    }
    if (isolated_.contains(from) || isolated_.contains(to)) {
      return true;
    }
    instance = position->second;
  }
  instance->replica->ReceiveMessage(from, bytes);
  return true;
}

Replica& ReplicaCluster::At(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  return *instances_.at(name)->replica;
}

std::vector<std::string> ReplicaCluster::Applied(const std::string& name) {
  std::shared_ptr<Instance> instance;
  {
    absl::MutexLock lock(&mutex_);
    instance = instances_.at(name);
  }
  absl::MutexLock lock(&instance->mutex);
  return instance->applied;
}

Result<std::string> ReplicaCluster::Propose(const std::string& name,
                                            std::string_view command) {
  absl::Notification done;
  Result<std::string> outcome = std::string();
  At(name).Propose(ToBytes(command), [&](const Result<Bytes>& result) {
    if (result.has_value()) {
      outcome = std::string(AsText(result.value()));
    } else {
      outcome = result.error();
    }
    done.Notify();
  });
  done.WaitForNotification();
  return outcome;
}

std::string ReplicaCluster::WaitForLeader() {
  std::string leader;
  WaitFor([&] {
    for (const std::string& name : peers_) {
      std::shared_ptr<Instance> instance;
      {
        absl::MutexLock lock(&mutex_);
        const auto position = instances_.find(name);
        if (position == instances_.end()) {
          continue;
        }
        instance = position->second;
      }
      if (instance->replica->IsLeader()) {
        leader = name;
        return true;
      }
    }
    return false;
  });
  return leader;
}

bool ReplicaCluster::WaitFor(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

}  // namespace bramleyrail
