#ifndef PACKAGES_BRAMLEYRAILD_SETTINGS_H_
#define PACKAGES_BRAMLEYRAILD_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// An IP address and a TCP port.
struct Endpoint {
  std::string address;
  int port = 0;

  bool operator==(const Endpoint&) const = default;
  std::string ToString() const;
};

// One port for each kind of peer, so that load from one cannot starve another.
struct ListenSettings {
  Endpoint callers;
  Endpoint watches;  // Long-lived watches of callers.
  Endpoint targets;
  Endpoint platform;
  Endpoint operators;
  Endpoint operator_watches;
  Endpoint health;
  Endpoint peers;  // Other entry instances.
};

struct PeerSettings {
  std::string name;
  Endpoint endpoint;
  std::string failure_domain;
  std::string region;
};

// All that differs between entry instances, read from one file in JSON with
// comments. docs/settings.md describes the keys.
struct Settings {
  std::string cluster_id;
  std::string instance;
  std::string failure_domain;
  std::string region;
  ListenSettings listen;
  std::vector<PeerSettings> peers;
  std::string data_folder;  // Empty: an observer without durable state.
  std::vector<std::string> initial_voters;
  LogOptions log;
  Milliseconds stop_deadline{30'000};
  Milliseconds balancer_delay{1'000};
};

// Reads and checks the file as a whole; the error lists every fault by key and
// names the file. The data folder is created when it does not exist, and
// checked by writing a file.
Result<Settings> LoadSettings(const std::string& file);

// Checks text without touching the data folder; `file` stands in messages.
Result<Settings> ParseSettings(std::string_view text, const std::string& file);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_SETTINGS_H_
