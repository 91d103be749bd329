#ifndef PACKAGES_REPLICATION_REPLICATION_EVENTS_H_
#define PACKAGES_REPLICATION_REPLICATION_EVENTS_H_

#include "packages/base/base.h"

namespace bramleyrail {

inline constexpr LogEventDefinition kReplicaStarted{3000, LogSeverity::kInfo,
                                                    "replica_started"};
inline constexpr LogEventDefinition kFolderFormatted{3001, LogSeverity::kInfo,
                                                     "folder_formatted"};
inline constexpr LogEventDefinition kRoleChanged{3002, LogSeverity::kInfo,
                                                 "role_changed"};
inline constexpr LogEventDefinition kMembershipChanged{3003, LogSeverity::kInfo,
                                                       "membership_changed"};
inline constexpr LogEventDefinition kStorageStopped{3004, LogSeverity::kError,
                                                    "storage_stopped"};
inline constexpr LogEventDefinition kTornTailTruncated{
    3005, LogSeverity::kWarning, "torn_tail_truncated"};
inline constexpr LogEventDefinition kSnapshotSaved{3006, LogSeverity::kInfo,
                                                   "snapshot_saved"};
inline constexpr LogEventDefinition kSnapshotInstalled{3007, LogSeverity::kInfo,
                                                       "snapshot_installed"};
inline constexpr LogEventDefinition kReplicationMessageRefused{
    3008, LogSeverity::kWarning, "replication_message_refused"};
inline constexpr LogEventDefinition kLeadershipTransferRequested{
    3009, LogSeverity::kInfo, "leadership_transfer_requested"};

inline constexpr LogEventDefinition kStorageDeferred{
    3010, LogSeverity::kWarning, "storage_deferred"};
inline constexpr LogEventDefinition kStorageResumed{3011, LogSeverity::kInfo,
                                                    "storage_resumed"};
inline constexpr LogEventDefinition kLeaderMissing{3012, LogSeverity::kWarning,
                                                   "leader_missing"};

}  // namespace bramleyrail

#endif  // PACKAGES_REPLICATION_REPLICATION_EVENTS_H_
