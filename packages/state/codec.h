#ifndef PACKAGES_STATE_CODEC_H_
#define PACKAGES_STATE_CODEC_H_

// Internal to the state package: typed structs to and from CBOR.
//
// A struct is an array of its fields in the order of Fields(). Fields that are
// missing at the end keep their defaults and surplus ones are ignored, so that
// a struct may grow at its end while instances of two versions run.

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "packages/base/base.h"
#include "packages/state/claim.h"
#include "packages/state/cluster_state.h"
#include "packages/state/command.h"
#include "packages/state/resource.h"
#include "packages/state/shared_text.h"
#include "packages/state/task.h"

namespace bramleyrail::codec {

// T or const T, so that one Fields() serves reading and writing.
template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

// Number of values of an enum; a decoded number beyond it is a fault.
template <typename Enum>
inline constexpr int64_t kEnumSize = 0;
template <>
inline constexpr int64_t kEnumSize<ResourceKind> = kResourceKindCount;
template <>
inline constexpr int64_t kEnumSize<Priority> = 3;
template <>
inline constexpr int64_t kEnumSize<PartitionBehaviour> = 2;
template <>
inline constexpr int64_t kEnumSize<TaskState> = 5;
template <>
inline constexpr int64_t kEnumSize<DesiredAttemptState> = 4;
template <>
inline constexpr int64_t kEnumSize<ReportedAttemptState> = 6;
template <>
inline constexpr int64_t kEnumSize<ClaimState> = 4;
template <>
inline constexpr int64_t kEnumSize<ErrorKind> =
    static_cast<int64_t>(ErrorKind::kInternal) + 1;

auto Fields(Is<ResourceAmounts> auto& v) {
  return std::tie(v.processor_millis, v.memory_mib, v.accelerators);
}
auto Fields(Is<TaskTemplate> auto& v) {
  return std::tie(v.team, v.task_kind, v.size, v.payload, v.failure_domains);
}
auto Fields(Is<ServiceSpec> auto& v) {
  return std::tie(v.task, v.replicas, v.when_partitioned, v.concurrent_requests,
                  v.concurrent_requests_for_caller, v.default_timeout_ms);
}
auto Fields(Is<BatchJobSpec> auto& v) {
  return std::tie(v.task, v.tasks, v.priority, v.maximum_attempts,
                  v.checkpointable, v.when_partitioned, v.cancelled);
}
auto Fields(Is<TeamSpec> auto& v) {
  return std::tie(v.quota, v.weight);
}
auto Fields(Is<FailureDomainSpec> auto& v) {
  return std::tie(v.region, v.drained);
}
auto Fields(Is<RackSpec> auto& v) {
  return std::tie(v.failure_domain, v.drained);
}
auto Fields(Is<WorkerSpec> auto& v) {
  return std::tie(v.failure_domain, v.rack, v.capacity, v.drained);
}
auto Fields(Is<TargetSpec> auto& v) {
  return std::tie(v.service, v.failure_domain, v.drained);
}
auto Fields(Is<Resource> auto& v) {
  return std::tie(v.name, v.uid, v.generation, v.revision, v.spec);
}
auto Fields(Is<ResourceDeclaration> auto& v) {
  return std::tie(v.name, v.spec, v.expected_uid, v.expected_revision);
}
auto Fields(Is<TaskOwner> auto& v) {
  return std::tie(v.kind, v.name, v.uid);
}
auto Fields(Is<Claim> auto& v) {
  return std::tie(v.request_id, v.service, v.caller, v.instance,
                  v.instance_boot_id, v.state, v.answer_status,
                  v.answer_content_type, v.answer_body, v.answer_kept,
                  v.claimed_unix_ms, v.resolved_unix_ms);
}
auto Fields(Is<FieldFault> auto& v) {
  return std::tie(v.path, v.message);
}
auto Fields(Is<Error> auto& v) {
  return std::tie(v.kind, v.message, v.remedy, v.faults);
}
auto Fields(Is<PendingReason> auto& v) {
  return std::tie(v.reason, v.unplaceable);
}
auto Fields(Is<ItemRefusal> auto& v) {
  return std::tie(v.index, v.error);
}
auto Fields(Is<CommandOutcome> auto& v) {
  return std::tie(v.revision, v.refusal, v.resources, v.claim, v.claim_won,
                  v.accepted, v.item_refusals);
}
auto Fields(Is<ApplyResources> auto& v) {
  return std::tie(v.change_id, v.declarations, v.new_uids);
}
auto Fields(Is<DeleteResource> auto& v) {
  return std::tie(v.change_id, v.kind, v.name, v.expected_uid,
                  v.expected_revision);
}
auto Fields(Is<SetDrained> auto& v) {
  return std::tie(v.change_id, v.kind, v.name, v.drained, v.new_uid);
}
auto Fields(Is<CancelJob> auto& v) {
  return std::tie(v.change_id, v.job);
}
auto Fields(Is<RegisterWorker> auto& v) {
  return std::tie(v.name, v.boot_id, v.spec, v.new_uid);
}
auto Fields(Is<SuspendWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(Is<ResumeWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(Is<ExpireWorker> auto& v) {
  return std::tie(v.name, v.boot_id);
}
auto Fields(Is<SetWorkerProbation> auto& v) {
  return std::tie(v.name, v.on_probation, v.reason);
}
auto Fields(Is<ReconcileTasks> auto& v) {
  return std::tie(v.owner);
}
auto Fields(Is<AttemptStart> auto& v) {
  return std::tie(v.task_id, v.expected_attempt, v.worker, v.worker_boot_id,
                  v.reserved);
}
auto Fields(Is<StartAttempts> auto& v) {
  return std::tie(v.starts);
}
auto Fields(Is<DesiredAttempt> auto& v) {
  return std::tie(v.task_id, v.attempt, v.desired, v.reason);
}
auto Fields(Is<SetDesiredAttempts> auto& v) {
  return std::tie(v.changes);
}
auto Fields(Is<AttemptReport> auto& v) {
  return std::tie(v.task_id, v.attempt, v.state, v.checkpoint, v.message,
                  v.charged);
}
auto Fields(Is<ReportAttempts> auto& v) {
  return std::tie(v.worker, v.boot_id, v.reports);
}
auto Fields(Is<SetPendingReason> auto& v) {
  return std::tie(v.owner, v.reason, v.unplaceable);
}
auto Fields(Is<ClaimRequest> auto& v) {
  return std::tie(v.claim);
}
auto Fields(Is<ResolveClaim> auto& v) {
  return std::tie(v.claim);
}
auto Fields(Is<ResolveLostClaims> auto& v) {
  return std::tie(v.instance, v.current_boot_id);
}
auto Fields(Is<ForgetBefore> auto& v) {
  return std::tie(v.unix_ms);
}
auto Fields(Is<Command> auto& v) {
  return std::tie(v.proposed_unix_ms, v.body);
}

template <typename T>
concept HasFields = requires(T& value) {
  Fields(value);
};

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};

template <typename T>
Json Pack(const T& value) {
  if constexpr (std::is_same_v<T, SharedText>) {
    return std::string(value.View());
  } else if constexpr (std::is_same_v<T, bool> ||
                       std::is_same_v<T, std::string>) {
    return value;
  } else if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
    return static_cast<int64_t>(value);
  } else if constexpr (IsOptional<T>::value) {
    return value ? Json::array({Pack(*value)}) : Json::array();
  } else if constexpr (IsVariant<T>::value) {
    Json body =
        std::visit([](const auto& chosen) { return Pack(chosen); }, value);
    return Json::array({static_cast<int64_t>(value.index()), std::move(body)});
  } else if constexpr (IsVector<T>::value) {
    Json array = Json::array();
    for (const auto& element : value) {
      array.push_back(Pack(element));
    }
    return array;
  } else {
    static_assert(HasFields<const T>);
    Json array = Json::array();
    std::apply(
        [&array](const auto&... field) { (array.push_back(Pack(field)), ...); },
        Fields(value));
    return array;
  }
}

template <typename T>
bool Unpack(const Json& json, T* value);

template <typename Variant, size_t kIndex = 0>
bool UnpackAlternative(int64_t index, const Json& json, Variant* value) {
  if constexpr (kIndex < std::variant_size_v<Variant>) {
    if (index == static_cast<int64_t>(kIndex)) {
      return Unpack(json, &value->template emplace<kIndex>());
    }
    return UnpackAlternative<Variant, kIndex + 1>(index, json, value);
  } else {
    return false;
  }
}

template <typename T>
bool UnpackFields(const Json& json, T* value) {
  if (!json.is_array()) {
    return false;
  }
  size_t position = 0;
  const auto unpack_next = [&](auto& field) {
    const size_t current = position++;
    return current >= json.size() || Unpack(json[current], &field);
  };
  return std::apply([&](auto&... field) { return (unpack_next(field) && ...); },
                    Fields(*value));
}

// Returns false when the JSON has not the shape that Pack() writes.
template <typename T>
bool Unpack(const Json& json, T* value) {
  if constexpr (std::is_same_v<T, SharedText>) {
    const auto* text = json.get_ptr<const std::string*>();
    *value = text == nullptr ? SharedText() : SharedText(*text);
    return text != nullptr;
  } else if constexpr (std::is_same_v<T, std::string>) {
    const auto* text = json.get_ptr<const std::string*>();
    *value = text == nullptr ? std::string() : *text;
    return text != nullptr;
  } else if constexpr (std::is_same_v<T, bool>) {
    *value = json.is_boolean() && json.get<bool>();
    return json.is_boolean();
  } else if constexpr (std::is_enum_v<T>) {
    static_assert(kEnumSize<T> > 0);
    int64_t number = 0;
    if (!Unpack(json, &number) || number < 0 || number >= kEnumSize<T>) {
      return false;
    }
    *value = static_cast<T>(number);
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    *value = json.is_number_integer() ? json.get<T>() : T();
    return json.is_number_integer();
  } else if constexpr (IsOptional<T>::value) {
    if (!json.is_array() || json.size() > 1) {
      return false;
    }
    value->reset();
    return json.empty() || Unpack(json[0], &value->emplace());
  } else if constexpr (IsVariant<T>::value) {
    int64_t index = 0;
    return json.is_array() && json.size() == 2 && Unpack(json[0], &index) &&
           UnpackAlternative(index, json[1], value);
  } else if constexpr (IsVector<T>::value) {
    if (!json.is_array()) {
      return false;
    }
    value->clear();
    value->reserve(json.size());
    for (const Json& element : json) {
      if (!Unpack(element, &value->emplace_back())) {
        return false;
      }
    }
    return true;
  } else {
    return UnpackFields(json, value);
  }
}

std::vector<std::byte> ToCbor(const Json& json);
// kDataLoss when the bytes are not one complete CBOR value.
Result<Json> FromCbor(std::span<const std::byte> data);

template <typename T>
std::vector<std::byte> Encode(const T& value) {
  return ToCbor(Pack(value));
}

Error DamagedError(std::string_view what);

template <typename T>
Result<T> Decode(std::span<const std::byte> data, std::string_view what) {
  TRY(json, FromCbor(data));
  T value;
  if (!Unpack(json, &value)) {
    return DamagedError(what);
  }
  return value;
}

}  // namespace bramleyrail::codec

#endif  // PACKAGES_STATE_CODEC_H_
