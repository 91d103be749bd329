#include "packages/storage/log_record.h"

#include <string>
#include <utility>

namespace bramleyrail {

namespace {

constexpr uint32_t kMagic = 0x524c5242;  // "BRLR"
constexpr size_t kChecksumEnd = sizeof(uint32_t) * 2;
constexpr size_t kHeaderSize =
    kChecksumEnd + sizeof(uint32_t) + sizeof(uint64_t) + 2;
constexpr uint8_t kEndsBatchFlag = 1;

}  // namespace

size_t LogRecord::EncodedSize() const {
  return kHeaderSize + payload.size();
}

void LogRecord::AppendTo(std::vector<std::byte>* out) const {
  std::vector<std::byte> checksummed;
  checksummed.reserve(EncodedSize());
  ByteWriter body(&checksummed);
  body.Integer<uint32_t>(static_cast<uint32_t>(payload.size()));
  body.Integer<uint64_t>(batch);
  body.Integer<uint8_t>(ends_batch ? kEndsBatchFlag : 0);
  body.Integer<uint8_t>(static_cast<uint8_t>(type));
  body.Raw(payload);
  ByteWriter writer(out);
  writer.Integer<uint32_t>(kMagic);
  writer.Integer<uint32_t>(Crc32c(checksummed));
  writer.Raw(checksummed);
}

std::optional<LogRecord> LogRecord::Parse(std::span<const std::byte> data) {
  if (data.size() < kHeaderSize) {
    return std::nullopt;
  }
  ByteReader reader(data);
  if (reader.Integer<uint32_t>() != kMagic) {
    return std::nullopt;
  }
  const uint32_t checksum = *reader.Integer<uint32_t>();
  const uint32_t length = *reader.Integer<uint32_t>();
  LogRecord record;
  record.batch = *reader.Integer<uint64_t>();
  record.ends_batch = *reader.Integer<uint8_t>() == kEndsBatchFlag;
  record.type = static_cast<RecordType>(*reader.Integer<uint8_t>());
  if (length > data.size() - kHeaderSize) {
    return std::nullopt;
  }
  const size_t size = kHeaderSize + length;
  if (Crc32c(data.subspan(kChecksumEnd, size - kChecksumEnd)) != checksum) {
    return std::nullopt;
  }
  const std::span<const std::byte> payload = data.subspan(kHeaderSize, length);
  record.payload.assign(payload.begin(), payload.end());
  return record;
}

LogRecord MakeRecord(const HardState& state) {
  LogRecord record{.type = RecordType::kHardState};
  ByteWriter writer(&record.payload);
  writer.Integer<uint64_t>(state.term);
  writer.Integer<uint8_t>(state.vote ? 1 : 0);
  if (state.vote) {
    writer.Integer<uint64_t>(state.vote->generation);
    writer.Text(state.vote->name);
  }
  return record;
}

LogRecord MakeRecord(const LogEntry& entry) {
  LogRecord record{.type = RecordType::kEntry};
  ByteWriter writer(&record.payload);
  writer.Integer<uint64_t>(entry.index);
  writer.Integer<uint64_t>(entry.term);
  writer.Integer<uint8_t>(static_cast<uint8_t>(entry.kind));
  writer.Raw(entry.data);
  return record;
}

LogRecord MakeRecord(const LogBase& base) {
  LogRecord record{.type = RecordType::kBase};
  ByteWriter writer(&record.payload);
  writer.Integer<uint64_t>(base.index);
  writer.Integer<uint64_t>(base.term);
  return record;
}

std::optional<HardState> ParseHardState(std::span<const std::byte> payload) {
  ByteReader reader(payload);
  const auto term = reader.Integer<uint64_t>();
  const auto has_vote = reader.Integer<uint8_t>();
  if (!term || !has_vote) {
    return std::nullopt;
  }
  HardState state{*term, std::nullopt};
  if (*has_vote != 0) {
    const auto generation = reader.Integer<uint64_t>();
    std::optional<std::string> name = reader.Text();
    if (!generation || !name) {
      return std::nullopt;
    }
    state.vote = ReplicaId{std::move(*name), *generation};
  }
  return state;
}

std::optional<LogEntry> ParseEntry(std::span<const std::byte> payload) {
  ByteReader reader(payload);
  const auto index = reader.Integer<uint64_t>();
  const auto term = reader.Integer<uint64_t>();
  const auto kind = reader.Integer<uint8_t>();
  if (!index || !term || !kind ||
      *kind > static_cast<uint8_t>(EntryKind::kConfiguration)) {
    return std::nullopt;
  }
  const std::span<const std::byte> data = reader.Rest();
  return LogEntry{*index, *term, static_cast<EntryKind>(*kind),
                  Bytes(data.begin(), data.end())};
}

std::optional<LogBase> ParseBase(std::span<const std::byte> payload) {
  ByteReader reader(payload);
  const auto index = reader.Integer<uint64_t>();
  const auto term = reader.Integer<uint64_t>();
  if (!index || !term) {
    return std::nullopt;
  }
  return LogBase{*index, *term};
}

}  // namespace bramleyrail
