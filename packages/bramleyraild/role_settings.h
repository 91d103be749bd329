#ifndef PACKAGES_BRAMLEYRAILD_ROLE_SETTINGS_H_
#define PACKAGES_BRAMLEYRAILD_ROLE_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

enum class InstanceRole {
  kEntry,    // Everything in one process; see settings.h.
  kControl,  // A replica of the job queues; its leader dispatches tasks.
  kGateway,  // Takes requests of callers to the leader.
};

// Settings of a control instance or a gateway, read from one file in JSON with
// comments. docs/settings.md describes the keys.
struct RoleSettings {
  InstanceRole role = InstanceRole::kEntry;
  std::string instance;  // The machine's name, for the log.
  std::string address;   // The IP address of this instance.
  std::string failure_domain;
  std::string region;
  std::map<std::string, std::string> region_of_failure_domain;
  std::string control_address;  // Operators and workers call it.
  std::string caller_address;
  std::string ready_address;
  int64_t peer_port = 0;
  int64_t metrics_port = 0;  // 0: no metrics.
  // IP addresses of the first control instances; the others become known when
  // they connect.
  std::vector<std::string> control_instances;
  std::string data_folder;
  bool first_start = false;
  Milliseconds maximum_lease{6'000};
  Milliseconds stop_deadline{6'000};
  Milliseconds job_retention{120'000};
  bool plan_ending_steps = false;
  // Control instances that may be lost at the same time, with their disks.
  int64_t tolerated_losses = 1;
  // Descriptors that the process may open; 0: as many as the machine allows.
  int64_t maximum_descriptors = 0;
  // Memory that the process may use; 0: as much as the machine has.
  int64_t maximum_memory_mb = 0;
  LogOptions log;
};

// The role that the text names; kEntry when it names none or cannot be read.
InstanceRole RoleOf(std::string_view text);

// Reads and checks the file as a whole; the error lists every fault by key and
// names the file.
Result<RoleSettings> LoadRoleSettings(const std::string& file);
Result<RoleSettings> ParseRoleSettings(std::string_view text,
                                       const std::string& file);
// The text of a settings file.
Result<std::string> ReadSettingsFile(const std::string& file);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_ROLE_SETTINGS_H_
