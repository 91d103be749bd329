#include "packages/operator/instance_status.h"

#include "packages/operator/status_generated.h"

namespace bramleyrail {

namespace {

std::string ToText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

Json InstanceStatusToJson(const InstanceStatus& status) {
  Json json = {{"name", status.name},
               {"failure_domain", status.failure_domain},
               {"region", status.region},
               {"reachable", status.reachable},
               {"role", status.role},
               {"leader", status.leader},
               {"term", status.term},
               {"applied_index", status.applied_index},
               {"configuration_revision", status.configuration_revision}};
  if (status.state_age_ms) {
    json["state_age_ms"] = *status.state_age_ms;
  }
  if (status.last_contact_ms_ago) {
    json["last_contact_ms_ago"] = *status.last_contact_ms_ago;
  }
  json["fault"] = status.fault;
  return json;
}

std::vector<std::byte> EncodeInstanceStatus(const InstanceStatus& status) {
  flatbuffers::FlatBufferBuilder builder;
  const auto name = builder.CreateString(status.name);
  const auto failure_domain = builder.CreateString(status.failure_domain);
  const auto region = builder.CreateString(status.region);
  const auto role = builder.CreateString(status.role);
  const auto leader = builder.CreateString(status.leader);
  const auto fault = builder.CreateString(status.fault);
  status_wire::StatusBuilder table(builder);
  table.add_name(name);
  table.add_failure_domain(failure_domain);
  table.add_region(region);
  table.add_role(role);
  table.add_leader(leader);
  table.add_term(status.term);
  table.add_applied_index(status.applied_index);
  table.add_configuration_revision(status.configuration_revision);
  table.add_state_age_ms(status.state_age_ms.value_or(-1));
  table.add_fault(fault);
  builder.Finish(table.Finish());
  const std::span<const std::byte> bytes =
      std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize()));
  return {bytes.begin(), bytes.end()};
}

Result<InstanceStatus> DecodeInstanceStatus(std::span<const std::byte> data) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(data.data());
  flatbuffers::Verifier verifier(bytes, data.size());
  if (!verifier.VerifyBuffer<status_wire::Status>(nullptr)) {
    return MakeError(ErrorKind::kDataLoss,
                     "an instance status cannot be decoded",
                     "check that every instance runs a compatible version");
  }
  const auto* table = flatbuffers::GetRoot<status_wire::Status>(bytes);
  InstanceStatus status;
  status.name = table->name()->str();
  status.failure_domain = table->failure_domain()->str();
  status.region = table->region()->str();
  status.role = table->role()->str();
  status.leader = ToText(table->leader());
  status.term = table->term();
  status.applied_index = table->applied_index();
  status.configuration_revision = table->configuration_revision();
  if (table->state_age_ms() >= 0) {
    status.state_age_ms = table->state_age_ms();
  }
  status.fault = ToText(table->fault());
  return status;
}

}  // namespace bramleyrail
