#include "packages/bramleyraild/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

constexpr int64_t kMaximumStopDeadlineMs = 600'000;
constexpr int64_t kMaximumBalancerDelayMs = 60'000;

bool IsIpAddress(const std::string& text) {
  in6_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const bool valid = IsIpAddress(endpoint.address) &&
                     absl::SimpleAtoi(text.substr(colon + 1), &endpoint.port) &&
                     endpoint.port > 0 && endpoint.port <= 65535;
  if (!valid) {
    return std::nullopt;
  }
  return endpoint;
}

Endpoint ReadEndpoint(JsonReader* reader, std::string_view field) {
  const auto text = reader->String(field, Presence::kRequired);
  if (!text) {
    return {};
  }
  const auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    reader->AddFault(field,
                     "must be an IP address and a port from 1 to 65535, such "
                     "as \"127.0.0.1:7100\"");
    return {};
  }
  return *endpoint;
}

std::string ReadName(JsonReader* reader, std::string_view field) {
  const auto name = reader->String(field, Presence::kRequired);
  if (!name) {
    return "";
  }
  if (const auto valid = ValidateName(*name); !valid) {
    reader->AddFault(field, valid.error().ToString());
  }
  return *name;
}

ListenSettings ReadListen(const Json& json, std::vector<FieldFault>* faults) {
  JsonReader reader(json, "listen", faults);
  ListenSettings listen;
  listen.callers = ReadEndpoint(&reader, "callers");
  listen.watches = ReadEndpoint(&reader, "watches");
  listen.targets = ReadEndpoint(&reader, "targets");
  listen.platform = ReadEndpoint(&reader, "platform");
  listen.operators = ReadEndpoint(&reader, "operators");
  listen.operator_watches = ReadEndpoint(&reader, "operator_watches");
  listen.health = ReadEndpoint(&reader, "health");
  listen.peers = ReadEndpoint(&reader, "peers");
  reader.RefuseUnknownFields();
  return listen;
}

PeerSettings ReadPeer(const Json& json,
                      const std::string& path,
                      std::vector<FieldFault>* faults) {
  JsonReader reader(json, path, faults);
  PeerSettings peer;
  peer.name = ReadName(&reader, "name");
  peer.endpoint = ReadEndpoint(&reader, "address");
  peer.failure_domain = ReadName(&reader, "failure_domain");
  peer.region = ReadName(&reader, "region");
  reader.RefuseUnknownFields();
  return peer;
}

LogOptions ReadLog(const Json& json, std::vector<FieldFault>* faults) {
  static const std::map<std::string, LogSeverity> severities = {
      {"debug", LogSeverity::kDebug},
      {"info", LogSeverity::kInfo},
      {"warning", LogSeverity::kWarning},
      {"error", LogSeverity::kError}};
  JsonReader reader(json, "log", faults);
  LogOptions options;
  options.file = reader.String("file", Presence::kOptional).value_or("");
  const auto severity = reader.String("severity", Presence::kOptional);
  if (severity) {
    const auto found = severities.find(*severity);
    if (found == severities.end()) {
      reader.AddFault("severity",
                      "must be \"debug\", \"info\", \"warning\" or \"error\"");
    } else {
      options.minimum_severity = found->second;
    }
  }
  reader.RefuseUnknownFields();
  return options;
}

// Two servers on one endpoint would fail only after others have started.
void CheckEndpointsDiffer(const Settings& settings,
                          std::vector<FieldFault>* faults) {
  std::vector<std::pair<std::string, Endpoint>> endpoints = {
      {"listen.callers", settings.listen.callers},
      {"listen.watches", settings.listen.watches},
      {"listen.targets", settings.listen.targets},
      {"listen.platform", settings.listen.platform},
      {"listen.operators", settings.listen.operators},
      {"listen.operator_watches", settings.listen.operator_watches},
      {"listen.health", settings.listen.health},
      {"listen.peers", settings.listen.peers}};
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    endpoints.emplace_back(absl::StrCat("peers[", i, "].address"),
                           settings.peers[i].endpoint);
  }
  std::map<std::string, std::string> first_use;
  for (const auto& [key, endpoint] : endpoints) {
    if (endpoint.port == 0) {
      continue;  // Already reported as faulty.
    }
    const auto [found, inserted] = first_use.emplace(endpoint.ToString(), key);
    if (!inserted) {
      faults->push_back(
          {key,
           absl::StrCat("repeats the address ", endpoint.ToString(), " of ",
                        found->second, "; give each its own port")});
    }
  }
}

void CheckMembers(const Settings& settings, std::vector<FieldFault>* faults) {
  std::vector<std::string> members = {settings.instance};
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    const std::string& name = settings.peers[i].name;
    if (std::find(members.begin(), members.end(), name) != members.end()) {
      faults->push_back(
          {absl::StrCat("peers[", i, "].name"),
           absl::StrCat("'", name,
                        "' occurs twice; list each other instance once and "
                        "leave out this one")});
    }
    members.push_back(name);
  }
  if (settings.initial_voters.size() % 2 == 0) {
    faults->push_back({"initial_voters",
                       "must list an odd number of instances, as an even one "
                       "tolerates no more failures"});
  }
  for (const std::string& voter : settings.initial_voters) {
    if (std::find(members.begin(), members.end(), voter) == members.end()) {
      faults->push_back(
          {"initial_voters", absl::StrCat("'", voter,
                                          "' is neither this instance nor one "
                                          "of the peers; add it to peers")});
    }
    if (std::count(settings.initial_voters.begin(),
                   settings.initial_voters.end(), voter) > 1) {
      faults->push_back({"initial_voters",
                         absl::StrCat("'", voter, "' occurs more than once")});
      break;
    }
  }
  const bool is_voter =
      std::find(settings.initial_voters.begin(), settings.initial_voters.end(),
                settings.instance) != settings.initial_voters.end();
  if (is_voter && settings.data_folder.empty()) {
    faults->push_back({"data_folder",
                       "is required because this instance is one of "
                       "initial_voters; name a folder on its disk"});
  }
}

Error SettingsError(const std::string& file, std::vector<FieldFault> faults) {
  Error error = MakeInvalidArgument(
      absl::StrCat("settings file '", file, "' is not valid"),
      std::move(faults));
  error.remedy = absl::StrCat("correct these keys in '", file,
                              "' and start again; docs/settings.md describes "
                              "them");
  return error;
}

Result<void> CheckDataFolder(const std::string& folder,
                             const std::string& file) {
  std::error_code code;
  std::filesystem::create_directories(folder, code);
  const std::filesystem::path probe =
      std::filesystem::path(folder) / ".write_check";
  bool written = false;
  if (!code) {
    std::ofstream stream(probe);
    stream << "check";
    stream.close();
    written = !stream.fail();
  }
  std::filesystem::remove(probe, code);
  if (!written) {
    return SettingsError(
        file, {{"data_folder",
                absl::StrCat("'", folder,
                             "' cannot be written; create it, free space, or "
                             "give this process write permission")}});
  }
  return Success();
}

}  // namespace

std::string Endpoint::ToString() const {
  return absl::StrCat(address, ":", port);
}

Result<Settings> ParseSettings(std::string_view text, const std::string& file) {
  auto parsed = ParseJson(text, JsonComments::kAllow);
  if (!parsed) {
    Error error = parsed.error();
    error.message = absl::StrCat("settings file '", file, "': ", error.message);
    return error;
  }
  const Json& json = parsed.value();
  std::vector<FieldFault> faults;
  JsonReader reader(json, "", &faults);
  Settings settings;
  settings.cluster_id = ReadName(&reader, "cluster_id");
  settings.instance = ReadName(&reader, "instance");
  settings.failure_domain = ReadName(&reader, "failure_domain");
  settings.region = ReadName(&reader, "region");
  if (const Json* listen = reader.Object("listen", Presence::kRequired)) {
    settings.listen = ReadListen(*listen, &faults);
  }
  if (const Json* peers = reader.Array("peers", Presence::kOptional)) {
    for (size_t i = 0; i < peers->size(); ++i) {
      settings.peers.push_back(
          ReadPeer((*peers)[i], absl::StrCat("peers[", i, "]"), &faults));
    }
  }
  settings.data_folder =
      reader.String("data_folder", Presence::kOptional).value_or("");
  settings.initial_voters =
      reader.Strings("initial_voters", Presence::kRequired)
          .value_or(std::vector<std::string>());
  if (const Json* log = reader.Object("log", Presence::kOptional)) {
    settings.log = ReadLog(*log, &faults);
  }
  settings.stop_deadline = Milliseconds(
      reader
          .Integer("stop_deadline_ms", Presence::kOptional,
                   {.minimum = 0, .maximum = kMaximumStopDeadlineMs})
          .value_or(settings.stop_deadline.count()));
  settings.balancer_delay = Milliseconds(
      reader
          .Integer("balancer_delay_ms", Presence::kOptional,
                   {.minimum = 0, .maximum = kMaximumBalancerDelayMs})
          .value_or(settings.balancer_delay.count()));
  reader.RefuseUnknownFields();
  if (json.is_object()) {
    CheckEndpointsDiffer(settings, &faults);
    CheckMembers(settings, &faults);
  }
  if (!faults.empty()) {
    return SettingsError(file, std::move(faults));
  }
  return settings;
}

Result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return MakeError(ErrorKind::kNotFound,
                     absl::StrCat("settings file '", file, "' cannot be read"),
                     "name an existing file with --settings");
  }
  std::stringstream text;
  text << stream.rdbuf();
  TRY(settings, ParseSettings(text.str(), file));
  if (!settings.data_folder.empty()) {
    TRY(CheckDataFolder(settings.data_folder, file));
  }
  return std::move(settings);
}

}  // namespace bramleyrail
