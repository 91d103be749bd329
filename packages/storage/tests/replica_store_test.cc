#include "packages/storage/fakes/fake_disk.h"
#include "packages/storage/storage.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kFirstSegment[] = "log-00000000000000000001";

LogEntry MakeEntry(LogIndex index, Term term) {
  return {index, term, EntryKind::kCommand, Bytes(100, std::byte{7})};
}

TEST_GROUP(ReplicaStore) {
  std::shared_ptr<FakeDisk> disk_ = std::make_shared<FakeDisk>();

  // Returns a formatted store with the entries 1 to `count`, each of them
  // synced separately.
  std::unique_ptr<ReplicaStore> MakeStore(LogIndex count) {
    auto store = ReplicaStore::Open(disk_).value();
    CHECK(store->Format({{"a", 1}, {{{"a", 1}}, {}}}).has_value());
    CHECK(store->Append(HardState{3, ReplicaId{"b", 1}}, {}).has_value());
    AppendThrough(*store, 1, count);
    return store;
  }

  void AppendThrough(ReplicaStore & store, LogIndex first, LogIndex last) {
    for (LogIndex index = first; index <= last; ++index) {
      CHECK(store.Append(std::nullopt, {{MakeEntry(index, 3)}}).has_value());
    }
  }

  RecoveredState Reopen() {
    return ReplicaStore::Open(disk_).value()->TakeRecoveredState();
  }
};

// A vote, term or entry that was synced must not be lost in a restart.
TEST(ReplicaStore, RestartRecoversAllSyncedState) {
  MakeStore(5);
  disk_ = disk_->Crash(0, false);
  const RecoveredState state = Reopen();
  CHECK((state.identity->id == ReplicaId{"a", 1}));
  LONGS_EQUAL(1, state.identity->initial_configuration.voters.size());
  CHECK((state.hard_state == HardState{3, ReplicaId{"b", 1}}));
  LONGS_EQUAL(5, state.entries.size());
  CHECK(state.entries.back() == MakeEntry(5, 3));
}

// Entries of an old leader must not reappear in a restart after a new leader
// has replaced them.
TEST(ReplicaStore, LaterEntriesReplaceEarlierOnes) {
  auto store = MakeStore(5);
  CHECK(store->Append(HardState{4, std::nullopt}, {{MakeEntry(3, 4)}})
            .has_value());
  const RecoveredState state = Reopen();
  LONGS_EQUAL(3, state.entries.size());
  LONGS_EQUAL(4, state.entries.back().term);
  LONGS_EQUAL(4, state.hard_state.term);
}

// An interrupted write must not prevent the instance from starting, whatever
// length of it has reached the disk, intact or corrupted.
TEST(ReplicaStore, TornTailIsTruncatedAndTheLogContinues) {
  auto store = MakeStore(3);
  // The write succeeds and the sync fails.
  disk_->remaining_successful_calls = 1;
  CHECK(store->Append(std::nullopt, {{MakeEntry(4, 3), MakeEntry(5, 3)}})
            .has_error());
  const std::shared_ptr<FakeDisk> written = disk_;
  for (size_t surviving = 0; surviving < 290; ++surviving) {
    for (const bool garbled : {false, true}) {
      disk_ = written->Crash(surviving, garbled);
      auto reopened = ReplicaStore::Open(disk_).value();
      const RecoveredState state = reopened->TakeRecoveredState();
      CHECK(state.entries.size() == 3 || state.entries.size() == 5);
      LONGS_EQUAL(3, state.hard_state.term);
      const LogIndex next = state.entries.size() + 1;
      AppendThrough(*reopened, next, next);
      LONGS_EQUAL(next, Reopen().entries.size());
    }
  }
}

// Damage to acknowledged entries must not be mistaken for an interrupted write,
// which would drop the entries. Each byte before the last batch is damaged in
// turn.
TEST(ReplicaStore, DamageBeforeTheLastBatchIsRefusedWithARemedy) {
  MakeStore(3);
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

// The loss of any single file of the store must be detected.
TEST(ReplicaStore, MissingFilesAreRefused) {
  auto store = MakeStore(3);
  CHECK(store->SaveSnapshot({2, 3, {}, Bytes(10)}, {{MakeEntry(3, 3)}})
            .has_value());
  disk_->SyncFolder().value();
  const std::shared_ptr<FakeDisk> whole = disk_;
  const std::vector<std::string> names = whole->List().value();
  for (const std::string& name : names) {
    disk_ = whole->Crash(0, false);
    disk_->Remove(name).value();
    CHECK(ReplicaStore::Open(disk_).error().kind == ErrorKind::kDataLoss);
  }
}

// After a failed sync or on a full disk, the page cache may differ from the
// durable content, so the store must not accept further writes to its files.
TEST(ReplicaStore, FailedWriteOrSyncStopsTheStoreUntilItIsRewritten) {
  for (const bool full : {false, true}) {
    disk_ = std::make_shared<FakeDisk>();
    auto store = MakeStore(3);
    if (full) {
      disk_->free_bytes = 50;
    } else {
      disk_->remaining_successful_calls = 1;
    }
    const auto failed = store->Append(std::nullopt, {{MakeEntry(4, 3)}});
    CHECK(failed.error().kind == ErrorKind::kStorage);
    disk_->free_bytes = std::nullopt;
    disk_->remaining_successful_calls = std::nullopt;
    CHECK(store->Append(std::nullopt, {{MakeEntry(4, 3)}}).has_error());
    CHECK(store->SaveSnapshot({2, 3, {}, {}}, {}).has_error());
    CHECK(store->storage_error().has_value());
    const std::shared_ptr<FakeDisk> stopped = disk_->Crash(0, false);
    const RecoveredState state =
        ReplicaStore::Open(stopped).value()->TakeRecoveredState();
    LONGS_EQUAL(3, state.entries.size());
    const std::vector<LogEntry> entries = {MakeEntry(1, 3), MakeEntry(2, 3),
                                           MakeEntry(3, 3), MakeEntry(4, 3)};
    CHECK(store->Rewrite(HardState{5, std::nullopt}, nullptr, entries)
              .has_value());
    CHECK(!store->storage_error().has_value());
    AppendThrough(*store, 5, 6);
    disk_ = disk_->Crash(0, false);
    const RecoveredState rewritten = Reopen();
    LONGS_EQUAL(6, rewritten.entries.size());
    LONGS_EQUAL(5, rewritten.hard_state.term);
  }
}

// A crash between any two writes of Rewrite() must lose nothing that was
// durable before the failure, also when the failed batch is on the disk or an
// earlier attempt has failed.
TEST(ReplicaStore, CrashWhileTheStoreIsRewrittenLosesNothing) {
  const std::vector<LogEntry> following = {MakeEntry(5, 3), MakeEntry(6, 3)};
  const auto snapshot =
      std::make_shared<const Snapshot>(Snapshot{4, 3, {}, Bytes(20)});
  for (int calls = 0; calls < 20; ++calls) {
    for (const int attempts : {1, 2}) {
      disk_ = std::make_shared<FakeDisk>();
      auto store = MakeStore(6);
      disk_->remaining_successful_calls = 1;
      CHECK(store->Append(HardState{4, ReplicaId{"c", 1}}, {{MakeEntry(7, 4)}})
                .has_error());
      Result<void> rewritten = Success();
      for (int attempt = 0; attempt < attempts; ++attempt) {
        disk_->remaining_successful_calls = calls;
        rewritten = store->Rewrite(HardState{4, ReplicaId{"c", 1}}, snapshot,
                                   following);
      }
      CHECK(rewritten.has_value() || calls < 12);
      for (const size_t surviving : {0, 30, 1000}) {
        for (const bool garbled : {false, true}) {
          const std::shared_ptr<FakeDisk> crashed =
              disk_->Crash(surviving, garbled);
          const auto opened = ReplicaStore::Open(crashed);
          CHECK_TRUE_TEXT(opened.has_value(), std::to_string(calls).c_str());
          const RecoveredState state = opened.value()->TakeRecoveredState();
          const LogIndex base = state.snapshot ? state.snapshot->index : 0;
          CHECK(base + state.entries.size() >= 6);
          CHECK(state.hard_state.term >= 3);
        }
      }
    }
  }
}

// A crash between any two writes of SaveSnapshot() must lose neither the state
// in the snapshot nor the entries after it.
TEST(ReplicaStore, CrashWhileASnapshotIsSavedLosesNothing) {
  for (int calls = 0; calls < 20; ++calls) {
    disk_ = std::make_shared<FakeDisk>();
    auto store = MakeStore(6);
    CHECK(store
              ->SaveSnapshot({2, 3, {}, Bytes(10)},
                             {{MakeEntry(3, 3), MakeEntry(4, 3),
                               MakeEntry(5, 3), MakeEntry(6, 3)}})
              .has_value());
    disk_->remaining_successful_calls = calls;
    const auto saved = store->SaveSnapshot(
        {4, 3, {}, Bytes(20)}, {{MakeEntry(5, 3), MakeEntry(6, 3)}});
    CHECK(saved.has_value() || calls < 12);
    for (const size_t surviving : {0, 30, 1000}) {
      const std::shared_ptr<FakeDisk> crashed = disk_->Crash(surviving, false);
      const RecoveredState state =
          ReplicaStore::Open(crashed).value()->TakeRecoveredState();
      LONGS_EQUAL(6, state.snapshot->index + state.entries.size());
      CHECK(state.entries.back() == MakeEntry(6, 3));
      LONGS_EQUAL(state.snapshot->index * 5, state.snapshot->data.size());
      LONGS_EQUAL(3, state.hard_state.term);
    }
  }
}

// A crash may prevent the new segment of a snapshot from the leader from being
// written. Entries that were then appended to the old log left a gap in it, and
// the second restart was refused (found by the simulation).
TEST(ReplicaStore, LogContinuesAfterASnapshotWithoutItsSegment) {
  auto store = MakeStore(3);
  // Only the snapshot and its name are written.
  disk_->remaining_successful_calls = 5;
  CHECK(store->SaveSnapshot({50, 3, {}, Bytes(10)}, {}).has_error());
  disk_ = disk_->Crash(0, false);
  AppendThrough(*ReplicaStore::Open(disk_).value(), 51, 52);
  const RecoveredState state = Reopen();
  LONGS_EQUAL(50, state.snapshot->index);
  LONGS_EQUAL(2, state.entries.size());
}

// A snapshot for which no file can be opened stopped the store for good.
TEST(ReplicaStore, SnapshotWithoutADescriptorCanBeSavedLater) {
  auto store = MakeStore(6);
  disk_->has_free_descriptors = false;
  const Snapshot snapshot{4, 3, {}, Bytes(20)};
  const std::vector<LogEntry> following = {MakeEntry(5, 3), MakeEntry(6, 3)};
  const auto refused = store->SaveSnapshot(snapshot, following);
  CHECK(refused.has_error());
  CHECK(refused.error().kind == ErrorKind::kResourceExhausted);
  CHECK(!store->storage_error().has_value());
  AppendThrough(*store, 7, 8);
  LONGS_EQUAL(8, Reopen().entries.size());
  disk_->has_free_descriptors = true;
  auto reopened = ReplicaStore::Open(disk_).value();
  CHECK(reopened->SaveSnapshot(snapshot, following).has_value());
  LONGS_EQUAL(4, Reopen().snapshot->index);
}

// A log that reached its segment size while no file could be opened stopped the
// store for good.
TEST(ReplicaStore, LogWithoutADescriptorForASegmentGrowsOn) {
  auto store = MakeStore(1);
  disk_->has_free_descriptors = false;
  for (LogIndex index = 2; index <= 8; ++index) {
    LogEntry entry = MakeEntry(index, 3);
    entry.data.resize(size_t{1} << 20);
    CHECK(store->Append(std::nullopt, {{entry}}).has_value());
  }
  LONGS_EQUAL(8, Reopen().entries.size());
  disk_->has_free_descriptors = true;
  AppendThrough(*store, 9, 9);
  LONGS_EQUAL(9, Reopen().entries.size());
}

// A restart must not read the log from before the snapshot.
TEST(ReplicaStore, RecoveryReadsOnlyWhatFollowsTheSnapshot) {
  auto store = MakeStore(1000);
  CHECK(store->SaveSnapshot({1000, 3, {}, Bytes(10)}, {}).has_value());
  AppendThrough(*store, 1001, 1010);
  disk_->bytes_read = 0;
  LONGS_EQUAL(10, Reopen().entries.size());
  CHECK(disk_->bytes_read < 2500);
}

}  // namespace
}  // namespace bramleyrail
