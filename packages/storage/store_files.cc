#include "packages/storage/store_files.h"

#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace bramleyrail {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr uint32_t kIdentityMagic = 0x49524c42;  // "BLRI"
constexpr uint32_t kSnapshotMagic = 0x53524c42;  // "BLRS"

std::optional<uint64_t> ParseNumberedName(std::string_view name,
                                          std::string_view prefix) {
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  name.remove_prefix(prefix.size());
  uint64_t number = 0;
  if (!absl::SimpleAtoi(absl::string_view(name.data(), name.size()), &number)) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::byte> AddChecksumHeader(uint32_t magic,
                                         std::span<const std::byte> body) {
  std::vector<std::byte> file;
  file.reserve(body.size() + sizeof(uint32_t) * 2);
  ByteWriter writer(&file);
  writer.Integer<uint32_t>(magic);
  writer.Integer<uint32_t>(Crc32c(body));
  writer.Raw(body);
  return file;
}

std::optional<std::span<const std::byte>> RemoveChecksumHeader(
    uint32_t magic,
    std::span<const std::byte> file) {
  ByteReader reader(file);
  if (reader.Integer<uint32_t>() != magic) {
    return std::nullopt;
  }
  const std::optional<uint32_t> checksum = reader.Integer<uint32_t>();
  if (!checksum || *checksum != Crc32c(reader.Rest())) {
    return std::nullopt;
  }
  return reader.Rest();
}

}  // namespace

std::string SegmentName(uint64_t first_batch) {
  return absl::StrFormat("log-%020u", first_batch);
}

std::string SnapshotName(LogIndex index) {
  return absl::StrFormat("snapshot-%020u", index);
}

std::optional<uint64_t> ParseSegmentName(std::string_view name) {
  return ParseNumberedName(name, kSegmentPrefix);
}

std::optional<uint64_t> ParseSnapshotName(std::string_view name) {
  return ParseNumberedName(name, kSnapshotPrefix);
}

std::vector<std::byte> EncodeIdentity(const ReplicaIdentity& identity) {
  std::vector<std::byte> body;
  ByteWriter writer(&body);
  writer.Integer<uint64_t>(identity.id.generation);
  writer.Text(identity.id.name);
  writer.Raw(identity.initial_configuration.Encode());
  return AddChecksumHeader(kIdentityMagic, body);
}

std::vector<std::byte> EncodeSnapshot(const Snapshot& snapshot) {
  const std::vector<std::byte> configuration = snapshot.configuration.Encode();
  std::vector<std::byte> body;
  body.reserve(snapshot.data.size() + configuration.size() +
               sizeof(uint64_t) * 3);
  ByteWriter writer(&body);
  writer.Integer<uint64_t>(snapshot.index);
  writer.Integer<uint64_t>(snapshot.term);
  writer.Text(AsText(configuration));
  writer.Raw(snapshot.data);
  return AddChecksumHeader(kSnapshotMagic, body);
}

Result<ReplicaIdentity> DecodeIdentity(std::span<const std::byte> file) {
  const auto body = RemoveChecksumHeader(kIdentityMagic, file);
  if (!body) {
    return MakeDamageError("the identity file is damaged");
  }
  ByteReader reader(*body);
  const auto generation = reader.Integer<uint64_t>();
  std::optional<std::string> name = reader.Text();
  if (!generation || !name) {
    return MakeDamageError("the identity file is damaged");
  }
  TRY(configuration, Configuration::Decode(reader.Rest()));
  return ReplicaIdentity{{std::move(*name), *generation},
                         std::move(configuration)};
}

Result<SnapshotPointer> DecodeSnapshot(std::span<const std::byte> file) {
  const auto body = RemoveChecksumHeader(kSnapshotMagic, file);
  if (!body) {
    return MakeDamageError("the snapshot is damaged");
  }
  ByteReader reader(*body);
  const auto index = reader.Integer<uint64_t>();
  const auto term = reader.Integer<uint64_t>();
  const std::optional<std::string> configuration = reader.Text();
  if (!index || !term || !configuration) {
    return MakeDamageError("the snapshot is damaged");
  }
  TRY(decoded, Configuration::Decode(AsBytes(*configuration)));
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = *index;
  snapshot->term = *term;
  snapshot->configuration = std::move(decoded);
  snapshot->data.assign(reader.Rest().begin(), reader.Rest().end());
  return SnapshotPointer(std::move(snapshot));
}

Error MakeDamageError(std::string message) {
  return MakeError(ErrorKind::kDataLoss, std::move(message),
                   "remove the data folder and restart the instance; it then "
                   "rejoins as a new replica");
}

}  // namespace bramleyrail
