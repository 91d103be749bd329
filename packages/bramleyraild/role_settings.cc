#include "packages/bramleyraild/role_settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

constexpr JsonReader::IntegerRange kPortRange{.minimum = 1, .maximum = 65535};
// More losses than this need more voters than a commit should wait for.
constexpr JsonReader::IntegerRange kToleratedRange{.minimum = 0, .maximum = 4};
constexpr JsonReader::IntegerRange kDescriptorRange{.minimum = 512,
                                                    .maximum = 1'000'000};
constexpr JsonReader::IntegerRange kMemoryRange{.minimum = 128,
                                                .maximum = 1'000'000};
constexpr JsonReader::IntegerRange kDurationRange{.minimum = 1,
                                                  .maximum = 3'600'000};

bool IsIp(const std::string& text) {
  in_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1;
}

std::string ReadIp(JsonReader* reader, std::string_view field) {
  const std::string text =
      reader->String(field, Presence::kRequired).value_or("");
  if (!IsIp(text)) {
    reader->AddFault(field, "must be an IPv4 address, such as \"10.0.0.1\"");
  }
  return text;
}

// "10.0.0.1:8080"; other instances use their own ports.
std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

std::string ReadAddress(JsonReader* reader,
                        std::string_view field,
                        Presence presence) {
  const std::string text = reader->String(field, presence).value_or("");
  if (text.empty() && presence == Presence::kOptional) {
    return text;
  }
  if (!IsIp(IpOf(text)) || text.find(':') == std::string::npos) {
    reader->AddFault(field, "must be an address such as \"10.0.0.1:8080\"");
  }
  return text;
}

Milliseconds ReadDuration(JsonReader* reader,
                          std::string_view field,
                          Milliseconds value) {
  return Milliseconds(
      reader->Integer(field, Presence::kOptional, kDurationRange)
          .value_or(value.count()));
}

void ReadRegions(const Json& json, JsonReader* reader, RoleSettings* settings) {
  for (const auto& [domain, region] : json.items()) {
    if (!region.is_string()) {
      reader->AddFault("regions",
                       "must name the region of each failure domain");
      return;
    }
    settings->region_of_failure_domain[domain] = region.get<std::string>();
  }
}

InstanceRole ReadRole(JsonReader* reader) {
  const std::string role =
      reader->String("role", Presence::kRequired).value_or("");
  if (role == "control") {
    return InstanceRole::kControl;
  }
  if (role == "gateway") {
    return InstanceRole::kGateway;
  }
  reader->AddFault("role", "must be \"control\" or \"gateway\"");
  return InstanceRole::kEntry;
}

}  // namespace

InstanceRole RoleOf(std::string_view text) {
  const auto json = ParseJson(text, JsonComments::kAllow);
  if (!json || !json.value().is_object()) {
    return InstanceRole::kEntry;
  }
  std::vector<FieldFault> faults;
  JsonReader reader(json.value(), "", &faults);
  return ReadRole(&reader);
}

Result<std::string> ReadSettingsFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return MakeError(ErrorKind::kNotFound,
                     absl::StrCat("settings file '", file, "' cannot be read"),
                     "name an existing file with --settings");
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<RoleSettings> ParseRoleSettings(std::string_view text,
                                       const std::string& file) {
  TRY(json, ParseJson(text, JsonComments::kAllow));
  std::vector<FieldFault> faults;
  JsonReader reader(json, "", &faults);
  RoleSettings settings;
  settings.role = ReadRole(&reader);
  const bool control = settings.role == InstanceRole::kControl;
  settings.instance =
      reader.String("instance", Presence::kRequired).value_or("");
  settings.address = ReadIp(&reader, "address");
  settings.failure_domain =
      reader.String("failure_domain", Presence::kRequired).value_or("");
  settings.region = reader.String("region", Presence::kRequired).value_or("");
  if (const Json* regions = reader.Object("regions", Presence::kOptional)) {
    ReadRegions(*regions, &reader, &settings);
  }
  settings.control_address =
      ReadAddress(&reader, "control_address",
                  control ? Presence::kRequired : Presence::kOptional);
  settings.caller_address =
      ReadAddress(&reader, "caller_address",
                  control ? Presence::kOptional : Presence::kRequired);
  settings.ready_address =
      ReadAddress(&reader, "ready_address",
                  control ? Presence::kOptional : Presence::kRequired);
  settings.peer_port =
      reader.Integer("peer_port", Presence::kRequired, kPortRange).value_or(0);
  settings.metrics_port =
      reader.Integer("metrics_port", Presence::kOptional, kPortRange)
          .value_or(0);
  for (const std::string& address :
       reader.Strings("control_instances", Presence::kRequired)
           .value_or(std::vector<std::string>())) {
    if (!IsIp(IpOf(address))) {
      reader.AddFault("control_instances", "must list addresses");
    }
    settings.control_instances.push_back(IpOf(address));
  }
  settings.data_folder =
      reader.String("data_folder", Presence::kOptional).value_or("");
  if (control && settings.data_folder.empty()) {
    reader.AddFault("data_folder", "is required; name a folder on the disk");
  }
  settings.first_start =
      reader.Boolean("first_start", Presence::kOptional).value_or(false);
  settings.maximum_lease =
      ReadDuration(&reader, "maximum_lease_ms", settings.maximum_lease);
  settings.stop_deadline =
      ReadDuration(&reader, "stop_deadline_ms", settings.stop_deadline);
  settings.job_retention =
      ReadDuration(&reader, "job_retention_ms", settings.job_retention);
  settings.plan_ending_steps =
      reader.Boolean("plan_ending_steps", Presence::kOptional).value_or(false);
  settings.tolerated_losses =
      reader.Integer("tolerated_losses", Presence::kOptional, kToleratedRange)
          .value_or(settings.tolerated_losses);
  settings.maximum_descriptors =
      reader
          .Integer("maximum_descriptors", Presence::kOptional, kDescriptorRange)
          .value_or(settings.maximum_descriptors);
  settings.maximum_memory_mb =
      reader.Integer("maximum_memory_mb", Presence::kOptional, kMemoryRange)
          .value_or(settings.maximum_memory_mb);
  settings.log.stream = LogStream::kStandardOutput;
  reader.RefuseUnknownFields();
  if (!faults.empty()) {
    Error error = MakeInvalidArgument(
        absl::StrCat("settings file '", file, "' is not valid"),
        std::move(faults));
    error.remedy = absl::StrCat("correct these keys in '", file,
                                "' and start again; docs/settings.md "
                                "describes them");
    return error;
  }
  return settings;
}

Result<RoleSettings> LoadRoleSettings(const std::string& file) {
  TRY(text, ReadSettingsFile(file));
  return ParseRoleSettings(text, file);
}

}  // namespace bramleyrail
