#include "packages/worker/fakes/stand_in_task.h"

#include <cstdlib>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

constexpr char kCheckpointPrefix[] = "progress_ms-";

}  // namespace

StandInTask::StandInTask(const std::string& payload,
                         const std::string& checkpoint)
    : checkpoint_(checkpoint) {
  const auto json = ParseJson(payload, JsonComments::kRefuse);
  // A payload that is not meant for the stand-in runs until it is stopped.
  const Json object = json.has_value() && json.value().is_object()
                          ? json.value()
                          : Json::object();
  std::vector<FieldFault> faults;
  JsonReader reader(object, "payload", &faults);
  run_ms_ = reader.Integer("run_ms", Presence::kOptional, {});
  fails_ = reader.Boolean("fail", Presence::kOptional).value_or(false);
  checkpoint_every_ms_ =
      reader.Integer("checkpoint_every_ms", Presence::kOptional, {1});
  used_.processor_millis =
      reader.Integer("processor_millis", Presence::kOptional, {}).value_or(0);
  used_.memory_mib =
      reader.Integer("memory_mib", Presence::kOptional, {}).value_or(0);
  slowdown_permille_ =
      reader.Integer("slowdown_permille", Presence::kOptional, {}).value_or(0);
  if (checkpoint_.starts_with(kCheckpointPrefix)) {
    progress_ms_ =
        std::atoll(checkpoint_.c_str() + sizeof(kCheckpointPrefix) - 1);
    checkpointed_ms_ = progress_ms_;
  }
}

bool StandInTask::Advance(Milliseconds elapsed, bool throttled) {
  progress_ms_ += throttled ? elapsed.count() / 2 : elapsed.count();
  if (checkpoint_every_ms_ &&
      progress_ms_ - checkpointed_ms_ >= *checkpoint_every_ms_) {
    WriteCheckpoint();
  }
  return run_ms_ && progress_ms_ >= *run_ms_;
}

void StandInTask::WriteCheckpoint() {
  checkpointed_ms_ = progress_ms_;
  checkpoint_ = absl::StrCat(kCheckpointPrefix, progress_ms_);
}

}  // namespace bramleyrail
