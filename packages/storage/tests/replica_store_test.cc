#include "packages/storage/fakes/fake_disk.h"
#include "packages/storage/storage.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kFirstSegment[] = "log-00000000000000000001";

LogEntry Entry(LogIndex index, Term term) {
  return {index, term, EntryKind::kCommand, Bytes(100, std::byte{7})};
}

TEST_GROUP(ReplicaStore) {
  std::shared_ptr<FakeDisk> disk_ = std::make_shared<FakeDisk>();

  // A formatted store with entries 1 to `count`, each synced on its own.
  std::unique_ptr<ReplicaStore> StoreWith(LogIndex count) {
    auto store = ReplicaStore::Open(disk_).value();
    CHECK(store->Format({{"a", 1}, {{{"a", 1}}, {}}}).has_value());
    CHECK(store->Append(HardState{3, ReplicaId{"b", 1}}, {}).has_value());
    AppendThrough(*store, 1, count);
    return store;
  }

  void AppendThrough(ReplicaStore & store, LogIndex first, LogIndex last) {
    for (LogIndex index = first; index <= last; ++index) {
      CHECK(store.Append(std::nullopt, {{Entry(index, 3)}}).has_value());
    }
  }

  RecoveredState Reopen() {
    return ReplicaStore::Open(disk_).value()->TakeRecovered();
  }
};

// Guards against a vote, term or entry that a restart forgets.
TEST(ReplicaStore, RestartFindsEverythingThatWasSynced) {
  StoreWith(5);
  disk_ = disk_->Crash(0, false);
  const RecoveredState state = Reopen();
  CHECK((state.identity->id == ReplicaId{"a", 1}));
  LONGS_EQUAL(1, state.identity->initial_configuration.voters.size());
  CHECK((state.hard_state == HardState{3, ReplicaId{"b", 1}}));
  LONGS_EQUAL(5, state.entries.size());
  CHECK(state.entries.back() == Entry(5, 3));
}

// Guards against entries of an old leader that come back after the new leader
// replaced them.
TEST(ReplicaStore, LaterEntriesReplaceEarlierOnes) {
  auto store = StoreWith(5);
  CHECK(store->Append(HardState{4, std::nullopt}, {{Entry(3, 4)}}).has_value());
  const RecoveredState state = Reopen();
  LONGS_EQUAL(3, state.entries.size());
  LONGS_EQUAL(4, state.entries.back().term);
  LONGS_EQUAL(4, state.hard_state.term);
}

// Guards against an interrupted write that keeps the instance from starting,
// at every length of what reached the disk, changed or not.
TEST(ReplicaStore, TornTailIsTruncatedAndTheLogContinues) {
  auto store = StoreWith(3);
  disk_->successful_calls = 1;  // The write succeeds and the sync fails.
  CHECK(store->Append(std::nullopt, {{Entry(4, 3), Entry(5, 3)}}).has_error());
  const std::shared_ptr<FakeDisk> written = disk_;
  for (size_t surviving = 0; surviving < 290; ++surviving) {
    for (const bool garbled : {false, true}) {
      disk_ = written->Crash(surviving, garbled);
      auto reopened = ReplicaStore::Open(disk_).value();
      const RecoveredState state = reopened->TakeRecovered();
      CHECK(state.entries.size() == 3 || state.entries.size() == 5);
      LONGS_EQUAL(3, state.hard_state.term);
      const LogIndex next = state.entries.size() + 1;
      AppendThrough(*reopened, next, next);
      LONGS_EQUAL(next, Reopen().entries.size());
    }
  }
}

// Guards against acknowledged entries that are dropped as if their write had
// been interrupted: every byte before the last batch is damaged in turn.
TEST(ReplicaStore, DamagedMiddleIsRefusedWithTheRemedy) {
  StoreWith(3);
  const size_t last_batch_bytes = 22 + 17 + 100;
  const size_t size = disk_->Content(kFirstSegment)->size();
  for (size_t position = 0; position < size - last_batch_bytes; ++position) {
    std::byte& damaged = (*disk_->Content(kFirstSegment))[position];
    damaged ^= std::byte{0x10};
    const auto store = ReplicaStore::Open(disk_);
    CHECK_TRUE_TEXT(store.has_error(), std::to_string(position).c_str());
    CHECK(store.error().kind == ErrorKind::kDataLoss);
    STRCMP_CONTAINS("remove the data folder", store.error().remedy.c_str());
    damaged ^= std::byte{0x10};
  }
  LONGS_EQUAL(3, Reopen().entries.size());
}

// Guards against a log or snapshot file that is gone and is not missed.
TEST(ReplicaStore, MissingFilesAreRefused) {
  auto store = StoreWith(3);
  CHECK(
      store->SaveSnapshot({2, 3, {}, Bytes(10)}, {{Entry(3, 3)}}).has_value());
  disk_->SyncFolder().value();
  const std::shared_ptr<FakeDisk> whole = disk_;
  const std::vector<std::string> names = whole->List().value();
  for (const std::string& name : names) {
    disk_ = whole->Crash(0, false);
    disk_->Remove(name).value();
    CHECK(ReplicaStore::Open(disk_).error().kind == ErrorKind::kDataLoss);
  }
}

// Guards against a store that goes on after a failed sync or a full disk, when
// the page cache no longer shows what is durable.
TEST(ReplicaStore, FailedWriteOrSyncStopsTheStoreForGood) {
  for (const bool full : {false, true}) {
    disk_ = std::make_shared<FakeDisk>();
    auto store = StoreWith(3);
    if (full) {
      disk_->free_bytes = 50;
    } else {
      disk_->successful_calls = 1;
    }
    const auto failed = store->Append(std::nullopt, {{Entry(4, 3)}});
    CHECK(failed.error().kind == ErrorKind::kStorage);
    disk_->free_bytes = std::nullopt;
    disk_->successful_calls = std::nullopt;
    CHECK(store->Append(std::nullopt, {{Entry(4, 3)}}).has_error());
    CHECK(store->SaveSnapshot({2, 3, {}, {}}, {}).has_error());
    CHECK(store->fault().has_value());
    disk_ = disk_->Crash(0, false);
    LONGS_EQUAL(3, Reopen().entries.size());
  }
}

// Guards against a crash between any two writes of a snapshot that loses the
// snapshot's state or the entries after it.
TEST(ReplicaStore, CrashWhileASnapshotIsSavedLosesNothing) {
  for (int calls = 0; calls < 20; ++calls) {
    disk_ = std::make_shared<FakeDisk>();
    auto store = StoreWith(6);
    CHECK(store
              ->SaveSnapshot(
                  {2, 3, {}, Bytes(10)},
                  {{Entry(3, 3), Entry(4, 3), Entry(5, 3), Entry(6, 3)}})
              .has_value());
    disk_->successful_calls = calls;
    const auto saved = store->SaveSnapshot({4, 3, {}, Bytes(20)},
                                           {{Entry(5, 3), Entry(6, 3)}});
    CHECK(saved.has_value() || calls < 12);
    for (const size_t surviving : {0, 30, 1000}) {
      const std::shared_ptr<FakeDisk> crashed = disk_->Crash(surviving, false);
      const RecoveredState state =
          ReplicaStore::Open(crashed).value()->TakeRecovered();
      LONGS_EQUAL(6, state.snapshot->index + state.entries.size());
      CHECK(state.entries.back() == Entry(6, 3));
      LONGS_EQUAL(state.snapshot->index * 5, state.snapshot->data.size());
      LONGS_EQUAL(3, state.hard_state.term);
    }
  }
}

// Guards against entries that are appended with a gap to the log before a
// snapshot from the leader, when a crash kept its new segment from being
// written. The simulation found this: the second restart was refused.
TEST(ReplicaStore, LogContinuesAfterASnapshotWithoutItsSegment) {
  auto store = StoreWith(3);
  disk_->successful_calls = 5;  // The snapshot and its name, and no more.
  CHECK(store->SaveSnapshot({50, 3, {}, Bytes(10)}, {}).has_error());
  disk_ = disk_->Crash(0, false);
  AppendThrough(*ReplicaStore::Open(disk_).value(), 51, 52);
  const RecoveredState state = Reopen();
  LONGS_EQUAL(50, state.snapshot->index);
  LONGS_EQUAL(2, state.entries.size());
}

// Guards against a restart that reads the whole history.
TEST(ReplicaStore, RecoveryReadsOnlyWhatFollowsTheSnapshot) {
  auto store = StoreWith(1000);
  CHECK(store->SaveSnapshot({1000, 3, {}, Bytes(10)}, {}).has_value());
  AppendThrough(*store, 1001, 1010);
  disk_->bytes_read = 0;
  LONGS_EQUAL(10, Reopen().entries.size());
  CHECK(disk_->bytes_read < 2500);
}

}  // namespace
}  // namespace bramleyrail
