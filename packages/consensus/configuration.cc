#include "packages/consensus/configuration.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "packages/consensus/byte_codec.h"

namespace bramleyrail {

namespace {

void WriteIds(ByteWriter* writer, const std::vector<ReplicaId>& ids) {
  writer->Integer<uint32_t>(static_cast<uint32_t>(ids.size()));
  for (const ReplicaId& id : ids) {
    writer->Integer<uint64_t>(id.generation);
    writer->Text(id.name);
  }
}

bool ReadIds(ByteReader* reader, std::vector<ReplicaId>* ids) {
  const std::optional<uint32_t> count = reader->Integer<uint32_t>();
  if (!count) {
    return false;
  }
  for (uint32_t position = 0; position < *count; ++position) {
    const std::optional<uint64_t> generation = reader->Integer<uint64_t>();
    std::optional<std::string> name = reader->Text();
    if (!generation || !name) {
      return false;
    }
    ids->push_back({std::move(*name), *generation});
  }
  return true;
}

bool ListContains(const std::vector<ReplicaId>& ids, const ReplicaId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool Configuration::IsVoter(const ReplicaId& id) const {
  return ListContains(voters, id);
}

bool Configuration::IsLearner(const ReplicaId& id) const {
  return ListContains(learners, id);
}

bool Configuration::Contains(const ReplicaId& id) const {
  return IsVoter(id) || IsLearner(id);
}

Result<Configuration> Configuration::With(
    const MembershipChange& change) const {
  Configuration next = *this;
  const auto conflict = [&change](const char* reason) {
    return MakeError(ErrorKind::kConflict,
                     change.replica.ToString() + " " + reason,
                     "read the current configuration and decide again");
  };
  switch (change.kind) {
    case MembershipChange::Kind::kAddLearner:
      if (Contains(change.replica)) {
        return conflict("is already a voter or learner");
      }
      next.learners.push_back(change.replica);
      break;
    case MembershipChange::Kind::kPromoteLearner:
      if (std::erase(next.learners, change.replica) == 0) {
        return conflict("is not a learner");
      }
      next.voters.push_back(change.replica);
      break;
    case MembershipChange::Kind::kRemove:
      if (std::erase(next.learners, change.replica) +
              std::erase(next.voters, change.replica) ==
          0) {
        return conflict("is neither a voter nor a learner");
      }
      if (next.voters.empty()) {
        return conflict("is the last voter and cannot be removed");
      }
      break;
  }
  return next;
}

std::vector<std::byte> Configuration::Encode() const {
  std::vector<std::byte> out;
  ByteWriter writer(&out);
  WriteIds(&writer, voters);
  WriteIds(&writer, learners);
  return out;
}

Result<Configuration> Configuration::Decode(std::span<const std::byte> data) {
  Configuration configuration;
  ByteReader reader(data);
  if (!ReadIds(&reader, &configuration.voters) ||
      !ReadIds(&reader, &configuration.learners) || !reader.AtEnd()) {
    return MakeError(ErrorKind::kDataLoss,
                     "a stored configuration could not be decoded",
                     "remove the data folder and rejoin as a new replica");
  }
  return configuration;
}

}  // namespace bramleyrail
