#include "packages/worker/poll_request.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

// The largest worker on the roadmap has a few thousand cores; the bound keeps
// sums over a fleet far from overflow.
constexpr int64_t kMaximumAmount = 1'000'000'000'000;
constexpr int64_t kMaximumCount = std::numeric_limits<int64_t>::max();
constexpr size_t kMaximumMessageBytes = 1024;
constexpr size_t kMaximumCheckpointBytes = 1024;
// Lengths that end up in the log of every instance are bounded.
constexpr size_t kMaximumNameBytes = 128;

ResourceAmounts ReadAmounts(JsonReader* reader) {
  const JsonReader::IntegerRange range{0, kMaximumAmount};
  ResourceAmounts amounts;
  amounts.processor_millis =
      reader->Integer("processor_millis", Presence::kRequired, range)
          .value_or(0);
  amounts.memory_mib =
      reader->Integer("memory_mib", Presence::kRequired, range).value_or(0);
  amounts.accelerators =
      reader->Integer("accelerators", Presence::kOptional, range).value_or(0);
  return amounts;
}

std::string ReadName(JsonReader* reader, std::string_view field) {
  const auto name = reader->String(field, Presence::kRequired);
  if (name && (name->empty() || name->size() > kMaximumNameBytes)) {
    reader->AddFault(field, "must be 1 to 128 bytes long");
  }
  return name.value_or("");
}

std::string ReadBounded(JsonReader* reader,
                        std::string_view field,
                        size_t limit) {
  std::string text = reader->String(field, Presence::kOptional).value_or("");
  if (text.size() > limit) {
    reader->AddFault(field,
                     absl::StrCat("must be at most ", limit, " bytes long"));
  }
  return text;
}

HeldAttempt ReadAttempt(const Json& json,
                        const std::string& path,
                        std::vector<FieldFault>* faults) {
  JsonReader reader(json, path, faults);
  HeldAttempt held;
  held.report.task_id = ReadName(&reader, "task_id");
  held.report.attempt =
      reader.Integer("attempt", Presence::kRequired, {1, kMaximumCount})
          .value_or(0);
  const auto state = reader.String("state", Presence::kRequired);
  if (state) {
    const auto parsed = ParseReportedAttemptState(*state);
    if (parsed.has_value()) {
      held.report.state = parsed.value();
    } else {
      reader.AddFault("state",
                      "must be accepted, running, checkpointed, completed, "
                      "failed or stopped");
    }
  }
  held.report.checkpoint =
      ReadBounded(&reader, "checkpoint", kMaximumCheckpointBytes);
  held.report.message =
      reader.String("message", Presence::kOptional).value_or("");
  // A long error text is no reason to refuse what the worker has to say.
  held.report.message.resize(
      std::min(held.report.message.size(), kMaximumMessageBytes));
  held.ran_ms =
      reader.Integer("ran_ms", Presence::kOptional, {0, kMaximumCount})
          .value_or(0);
  reader.RefuseUnknownFields();
  return held;
}

AttemptUsage ReadUsage(const Json& json,
                       const std::string& path,
                       std::vector<FieldFault>* faults) {
  JsonReader reader(json, path, faults);
  AttemptUsage usage;
  usage.task_id = ReadName(&reader, "task_id");
  usage.attempt =
      reader.Integer("attempt", Presence::kRequired, {1, kMaximumCount})
          .value_or(0);
  usage.used = ReadAmounts(&reader);
  usage.slowdown_permille =
      reader.Integer("slowdown_permille", Presence::kOptional, {0, 1'000'000})
          .value_or(0);
  reader.RefuseUnknownFields();
  return usage;
}

template <typename Entry, typename ReadEntry>
std::vector<Entry> ReadList(JsonReader* reader,
                            std::string_view field,
                            const ReadEntry& read_entry) {
  std::vector<Entry> entries;
  const Json* list = reader->Array(field, Presence::kOptional);
  if (list == nullptr) {
    return entries;
  }
  for (size_t i = 0; i < list->size(); ++i) {
    entries.push_back(read_entry(
        (*list)[i], absl::StrCat(reader->PathOf(field), "[", i, "]")));
  }
  return entries;
}

void CheckName(const std::string& name,
               const std::string& path,
               std::vector<FieldFault>* faults) {
  const Result<void> valid = ValidateName(name);
  // An empty name has been reported already.
  if (!name.empty() && !valid.has_value()) {
    faults->push_back({path, valid.error().message});
  }
}

}  // namespace

Result<PollRequest> ParsePollRequest(std::string_view worker,
                                     std::string_view body) {
  TRY(json, ParseJson(body, JsonComments::kRefuse));
  std::vector<FieldFault> faults;
  JsonReader reader(json, "", &faults);
  PollRequest request;
  WorkerReport& report = request.report;
  report.worker = std::string(worker);
  report.boot_id = ReadName(&reader, "boot_id");
  report.spec.failure_domain = ReadName(&reader, "failure_domain");
  report.spec.rack = ReadName(&reader, "rack");
  if (const Json* capacity = reader.Object("capacity", Presence::kRequired)) {
    JsonReader capacity_reader(*capacity, "capacity", &faults);
    report.spec.capacity = ReadAmounts(&capacity_reader);
    capacity_reader.RefuseUnknownFields();
  }
  report.attempts = ReadList<HeldAttempt>(
      &reader, "attempts", [&](const Json& entry, const std::string& path) {
        return ReadAttempt(entry, path, &faults);
      });
  report.usage = ReadList<AttemptUsage>(
      &reader, "usage", [&](const Json& entry, const std::string& path) {
        return ReadUsage(entry, path, &faults);
      });
  request.known_version =
      reader.String("known_version", Presence::kOptional).value_or("");
  request.wait = Milliseconds(reader
                                  .Integer("wait_ms", Presence::kOptional,
                                           {0, kMaximumPollWait.count()})
                                  .value_or(0));
  reader.RefuseUnknownFields();
  CheckName(report.worker, "name", &faults);
  CheckName(report.spec.failure_domain, "failure_domain", &faults);
  CheckName(report.spec.rack, "rack", &faults);
  if (!faults.empty()) {
    return MakeInvalidArgument("the poll is not valid", std::move(faults));
  }
  return request;
}

}  // namespace bramleyrail
