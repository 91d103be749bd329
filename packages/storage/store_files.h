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

inline constexpr char kIdentityName[] = "identity";
inline constexpr char kTemporarySuffix[] = ".tmp";

std::string SegmentName(uint64_t first_batch);
std::string SnapshotName(LogIndex index);
// The number in the name of a segment or snapshot; nullopt for other files.
std::optional<uint64_t> ParseSegmentName(std::string_view name);
std::optional<uint64_t> ParseSnapshotName(std::string_view name);

// Contents of whole files, with a CRC-32C in front.
std::vector<std::byte> EncodeIdentity(const ReplicaIdentity& identity);
std::vector<std::byte> EncodeSnapshot(const Snapshot& snapshot);
Result<ReplicaIdentity> DecodeIdentity(std::span<const std::byte> file);
Result<SnapshotPointer> DecodeSnapshot(std::span<const std::byte> file);

// The kDataLoss error, whose remedy is to rejoin as a new replica.
Error MakeDamageError(std::string message);

}  // namespace bramleyrail

#endif  // PACKAGES_STORAGE_STORE_FILES_H_
