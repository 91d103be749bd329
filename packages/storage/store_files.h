#ifndef PACKAGES_STORAGE_STORE_FILES_H_
#define PACKAGES_STORAGE_STORE_FILES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/consensus/consensus.h"
#include "packages/storage/replica_store.h"

namespace bramleyrail {

inline constexpr char kIdentityFileName[] = "identity";
inline constexpr char kTemporarySuffix[] = ".tmp";

std::string SegmentName(uint64_t first_batch);
std::string SnapshotName(LogIndex index);
// Return the number in the file name of a segment or snapshot; nullopt for the
// names of other files.
std::optional<uint64_t> ParseSegmentName(std::string_view name);
std::optional<uint64_t> ParseSnapshotName(std::string_view name);

// Encode and decode complete files. Each file starts with a magic number and
// the CRC-32C of the rest.
std::vector<std::byte> EncodeIdentity(const ReplicaIdentity& identity);
std::vector<std::byte> EncodeSnapshot(const Snapshot& snapshot);
Result<ReplicaIdentity> DecodeIdentity(std::span<const std::byte> file);
Result<SnapshotPointer> DecodeSnapshot(std::span<const std::byte> file);

// Returns a kDataLoss error whose remedy is to rejoin as a new replica.
Error MakeDamageError(std::string message);

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_STORE_FILES_H_
