#include "packages/worker/report_codec.h"

#include <string>

#include "packages/worker/worker_generated.h"

namespace bramleyrail {

namespace {

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

worker_wire::Amounts ToWire(const ResourceAmounts& amounts) {
  return {amounts.processor_millis, amounts.memory_mib, amounts.accelerators};
}

ResourceAmounts FromWire(const worker_wire::Amounts* amounts) {
  if (amounts == nullptr) {
    return {};
  }
  return {amounts->processor_millis(), amounts->memory_mib(),
          amounts->accelerators()};
}

flatbuffers::Offset<worker_wire::HeldAttempt> Write(
    flatbuffers::FlatBufferBuilder* builder,
    const HeldAttempt& held) {
  const AttemptReport& report = held.report;
  const auto task_id = builder->CreateString(report.task_id);
  const auto checkpoint = builder->CreateString(report.checkpoint);
  const auto message = builder->CreateString(report.message);
  return worker_wire::CreateHeldAttempt(*builder, task_id, report.attempt,
                                        static_cast<int8_t>(report.state),
                                        checkpoint, message, held.ran_ms);
}

flatbuffers::Offset<worker_wire::AttemptUsage> Write(
    flatbuffers::FlatBufferBuilder* builder,
    const AttemptUsage& usage) {
  const auto task_id = builder->CreateString(usage.task_id);
  const worker_wire::Amounts used = ToWire(usage.used);
  return worker_wire::CreateAttemptUsage(*builder, task_id, usage.attempt,
                                         &used, usage.slowdown_permille);
}

flatbuffers::Offset<worker_wire::WorkerReport> Write(
    flatbuffers::FlatBufferBuilder* builder,
    const WorkerReport& report) {
  std::vector<flatbuffers::Offset<worker_wire::HeldAttempt>> attempts;
  attempts.reserve(report.attempts.size());
  for (const HeldAttempt& held : report.attempts) {
    attempts.push_back(Write(builder, held));
  }
  std::vector<flatbuffers::Offset<worker_wire::AttemptUsage>> usage;
  usage.reserve(report.usage.size());
  for (const AttemptUsage& entry : report.usage) {
    usage.push_back(Write(builder, entry));
  }
  const worker_wire::Amounts capacity = ToWire(report.spec.capacity);
  const auto worker = builder->CreateString(report.worker);
  const auto boot_id = builder->CreateString(report.boot_id);
  const auto domain = builder->CreateString(report.spec.failure_domain);
  const auto rack = builder->CreateString(report.spec.rack);
  const auto attempt_list = builder->CreateVector(attempts);
  const auto usage_list = builder->CreateVector(usage);
  return worker_wire::CreateWorkerReport(*builder, worker, boot_id, domain,
                                         rack, &capacity, attempt_list,
                                         usage_list);
}

Result<HeldAttempt> Read(const worker_wire::HeldAttempt& held) {
  const int8_t state = held.state();
  if (state < 0 ||
      state > static_cast<int8_t>(ReportedAttemptState::kStopped)) {
    return MakeError(ErrorKind::kDataLoss,
                     "a worker report names an unknown attempt state",
                     "run the same version on every instance");
  }
  HeldAttempt result;
  result.report.task_id = ToString(held.task_id());
  result.report.attempt = held.attempt();
  result.report.state = static_cast<ReportedAttemptState>(state);
  result.report.checkpoint = ToString(held.checkpoint());
  result.report.message = ToString(held.message());
  result.ran_ms = held.ran_ms();
  return result;
}

Result<WorkerReport> Read(const worker_wire::WorkerReport& report) {
  WorkerReport result;
  result.worker = ToString(report.worker());
  result.boot_id = ToString(report.boot_id());
  result.spec.failure_domain = ToString(report.failure_domain());
  result.spec.rack = ToString(report.rack());
  result.spec.capacity = FromWire(report.capacity());
  if (report.attempts() != nullptr) {
    for (const worker_wire::HeldAttempt* held : *report.attempts()) {
      TRY(attempt, Read(*held));
      result.attempts.push_back(std::move(attempt));
    }
  }
  if (report.usage() != nullptr) {
    for (const worker_wire::AttemptUsage* usage : *report.usage()) {
      result.usage.push_back({ToString(usage->task_id()), usage->attempt(),
                              FromWire(usage->used()),
                              usage->slowdown_permille()});
    }
  }
  return result;
}

}  // namespace

std::vector<std::byte> EncodeWorkerReports(
    std::span<const WorkerReport> reports) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<worker_wire::WorkerReport>> entries;
  entries.reserve(reports.size());
  for (const WorkerReport& report : reports) {
    entries.push_back(Write(&builder, report));
  }
  builder.Finish(
      worker_wire::CreateWorkerReports(builder, builder.CreateVector(entries)));
  const auto bytes = std::as_bytes(
      std::span<const uint8_t>(builder.GetBufferPointer(), builder.GetSize()));
  return {bytes.begin(), bytes.end()};
}

Result<std::vector<WorkerReport>> DecodeWorkerReports(
    std::span<const std::byte> data) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(data.data());
  flatbuffers::Verifier verifier(bytes, data.size());
  if (data.empty() ||
      !verifier.VerifyBuffer<worker_wire::WorkerReports>(nullptr)) {
    return MakeError(ErrorKind::kDataLoss,
                     "the batch of worker reports is damaged",
                     "run the same version on every instance");
  }
  std::vector<WorkerReport> reports;
  const auto* batch = flatbuffers::GetRoot<worker_wire::WorkerReports>(bytes);
  if (batch->reports() == nullptr) {
    return reports;
  }
  for (const worker_wire::WorkerReport* report : *batch->reports()) {
    TRY(entry, Read(*report));
    reports.push_back(std::move(entry));
  }
  return reports;
}

}  // namespace bramleyrail
