// Measures the replicated log: append throughput, restart, snapshot, restore.
// Run it with --benchmark_repetitions; results of different machines are not
// comparable.

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <utility>

#include "absl/synchronization/blocking_counter.h"
#include "packages/replication/replication.h"
#include "packages/storage/storage.h"

namespace bramleyrail {
namespace {

constexpr size_t kCommandBytes = 200;

// A new folder in the current one, removed on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char pattern[] = "replication_benchmark_XXXXXX";
    path_ = mkdtemp(pattern);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Starts a replica that is the only voter and stores its log on a POSIX disk.
std::unique_ptr<Replica> StartReplica(const std::string& folder) {
  Replica::Options options;
  options.instance_name = "a";
  options.data_folder = folder;
  options.initial_voters = {"a"};
  options.send = [](std::string_view, std::span<const std::byte>) {
    return false;
  };
  options.apply = [](LogIndex, std::span<const std::byte>) { return Bytes(); };
  options.snapshot = [] { return Bytes(1000); };
  options.restore = [](std::span<const std::byte>) {};
  std::unique_ptr<Replica> replica =
      Replica::Create(std::move(options)).value();
  replica->Start();
  return replica;
}

// Proposes `count` commands concurrently and waits for all outcomes.
void ProposeAndWait(Replica* replica, int count) {
  absl::BlockingCounter open(count);
  for (int position = 0; position < count; ++position) {
    replica->Propose(Bytes(kCommandBytes), [&](const Result<Bytes>& result) {
      BRAMLEYRAIL_ASSERT(result.has_value(),
                         "a proposal to a single voter failed");
      open.DecrementCount();
    });
  }
  open.Wait();
}

// Commands per second with the given number of proposals in progress.
void BenchmarkAppend(benchmark::State& state) {
  const TemporaryFolder folder;
  const std::unique_ptr<Replica> replica = StartReplica(folder.path());
  const int in_progress = static_cast<int>(state.range(0));
  ProposeAndWait(replica.get(), 1);
  for (auto iteration : state) {
    ProposeAndWait(replica.get(), in_progress);
  }
  state.SetItemsProcessed(state.iterations() * in_progress);
}
BENCHMARK(BenchmarkAppend)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

// Time to open the store after the given number of changes, with a snapshot
// every 4,096 of them, as the replica saves it.
void BenchmarkRestart(benchmark::State& state) {
  const TemporaryFolder folder;
  {
    const std::unique_ptr<Replica> replica = StartReplica(folder.path());
    for (int64_t left = state.range(0); left > 0; left -= 100) {
      ProposeAndWait(replica.get(), 100);
    }
  }
  for (auto iteration : state) {
    std::shared_ptr<Disk> disk = PosixDisk::Open(folder.path()).value();
    benchmark::DoNotOptimize(ReplicaStore::Open(std::move(disk)).value());
  }
}
BENCHMARK(BenchmarkRestart)->Arg(100)->Arg(1000)->Arg(100000)->UseRealTime();

Snapshot SnapshotOf(int64_t bytes) {
  return {4096,
          1,
          {{{"a", kFirstGeneration}}, {}},
          Bytes(static_cast<size_t>(bytes))};
}

std::unique_ptr<ReplicaStore> OpenFormatted(const std::string& folder) {
  std::shared_ptr<Disk> disk = PosixDisk::Open(folder).value();
  auto store = ReplicaStore::Open(std::move(disk)).value();
  if (!store->TakeRecoveredState().identity) {
    store->Format({{"a", kFirstGeneration}, {{{"a", kFirstGeneration}}, {}}})
        .value();
  }
  return store;
}

void BenchmarkSaveSnapshot(benchmark::State& state) {
  const TemporaryFolder folder;
  const auto store = OpenFormatted(folder.path());
  Snapshot snapshot = SnapshotOf(state.range(0));
  for (auto iteration : state) {
    ++snapshot.index;
    store->SaveSnapshot(snapshot, {}).value();
  }
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchmarkSaveSnapshot)->Arg(1 << 20)->Arg(8 << 20)->UseRealTime();

void BenchmarkRestoreSnapshot(benchmark::State& state) {
  const TemporaryFolder folder;
  OpenFormatted(folder.path())
      ->SaveSnapshot(SnapshotOf(state.range(0)), {})
      .value();
  for (auto iteration : state) {
    std::shared_ptr<Disk> disk = PosixDisk::Open(folder.path()).value();
    auto store = ReplicaStore::Open(std::move(disk)).value();
    benchmark::DoNotOptimize(store->TakeRecoveredState().snapshot);
  }
  state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchmarkRestoreSnapshot)->Arg(1 << 20)->Arg(8 << 20)->UseRealTime();

}  // namespace
}  // namespace bramleyrail

BENCHMARK_MAIN();
