#include "packages/bramleyraild/settings.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kValidSettings[] = R"({
  // One instance of a deployment of two.
  "cluster_id": "test",
  "instance": "south-a-1",
  "failure_domain": "south-a",
  "region": "south",
  "listen": {
    "callers": "127.0.0.1:7101", "watches": "127.0.0.1:7102",
    "targets": "127.0.0.1:7103", "platform": "127.0.0.1:7104",
    "operators": "127.0.0.1:7105", "operator_watches": "127.0.0.1:7106",
    "health": "127.0.0.1:7107", "peers": "127.0.0.1:7108"
  },
  "peers": [{"name": "south-b-1", "address": "127.0.0.1:7208",
             "failure_domain": "south-b", "region": "south"}],
  "data_folder": "data",
  "initial_voters": ["south-a-1"]
})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const size_t position = text.find(from);
  CHECK(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

// Expects exactly one fault, at `path`.
void ExpectFault(const std::string& text, const char* path) {
  const auto settings = ParseSettings(text, "instance.json");
  CHECK(!settings);
  CHECK(settings.error().message.find("instance.json") != std::string::npos);
  LONGS_EQUAL(1, settings.error().faults.size());
  STRCMP_EQUAL(path, settings.error().faults[0].path.c_str());
}

TEST_GROUP(Settings){};

TEST(Settings, ReadsAFileWithComments) {
  const auto settings = ParseSettings(kValidSettings, "instance.json");
  CHECK(settings.has_value());
  LONGS_EQUAL(7108, settings.value().listen.peers.port);
  LONGS_EQUAL(30'000, settings.value().stop_deadline.count());
}

// Guards against a misspelt key, or a key with another unit, that is ignored.
TEST(Settings, RefusesUnknownKeysAndUnits) {
  ExpectFault(Replaced(kValidSettings, "\"data_folder\"",
                       "\"stop_deadline_s\": 30, \"data_folder\""),
              "stop_deadline_s");
}

// Guards against two servers on one port, found only when the second starts.
TEST(Settings, RefusesAnAddressUsedTwice) {
  ExpectFault(Replaced(kValidSettings, "127.0.0.1:7208", "127.0.0.1:7101"),
              "peers[0].address");
}

TEST(Settings, RefusesAVoterWithoutADataFolder) {
  ExpectFault(Replaced(kValidSettings, "\"data_folder\": \"data\",", ""),
              "data_folder");
}

TEST(Settings, RefusesAVoterThatIsNoMember) {
  ExpectFault(Replaced(kValidSettings, "[\"south-a-1\"]", "[\"south-c-1\"]"),
              "initial_voters");
}

// Guards against a start that fails later, at the first write.
TEST(Settings, RefusesADataFolderThatCannotBeWritten) {
  const std::string file = "settings_test.json";
  FILE* stream = std::fopen(file.c_str(), "w");
  const std::string text = Replaced(kValidSettings, "\"data_folder\": \"data\"",
                                    "\"data_folder\": \"/proc/bramleyrail\"");
  std::fwrite(text.data(), 1, text.size(), stream);
  std::fclose(stream);
  const auto settings = LoadSettings(file);
  std::remove(file.c_str());
  CHECK(!settings);
  STRCMP_EQUAL("data_folder", settings.error().faults[0].path.c_str());
}

}  // namespace
}  // namespace bramleyrail
