#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

struct EventEntry {
  std::string severity;
  std::string name;

  bool operator==(const EventEntry&) const = default;
};

using EventTable = std::map<int, EventEntry>;

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Adds every match of (number, severity, name); a number used twice fails.
void AddMatches(const std::string& text,
                const std::regex& pattern,
                EventTable* table) {
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
       match != end; ++match) {
    std::string severity = (*match)[2];
    severity[0] = static_cast<char>(std::tolower(severity[0]));
    const auto [entry, inserted] = table->emplace(
        std::stoi((*match)[1]), EventEntry{severity, (*match)[3]});
    CHECK_TEXT(inserted, ("number used twice: " + match->str()).c_str());
  }
}

EventTable EventsInCode() {
  const std::regex pattern(
      R"((\d{4}),\s*LogSeverity::k([A-Za-z]+),\s*"([a-z_]+)\")");
  EventTable table;
  const std::filesystem::path packages =
      std::filesystem::path(BRAMLEYRAIL_SOURCE_FOLDER) / "packages";
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(packages)) {
    if (entry.path().filename().string().ends_with("_events.h")) {
      AddMatches(ReadFile(entry.path()), pattern, &table);
    }
  }
  return table;
}

EventTable EventsInCatalogue() {
  const std::regex pattern(
      R"(\|\s*(\d{4})\s*\|\s*([a-z]+)\s*\|\s*`?([a-z_]+)`?\s*\|)");
  EventTable table;
  AddMatches(ReadFile(std::filesystem::path(BRAMLEYRAIL_SOURCE_FOLDER) /
                      "docs/log-events.md"),
             pattern, &table);
  return table;
}

TEST_GROUP(LogEvents){};

// Guards against a catalogue that operators cannot rely on.
TEST(LogEvents, CodeAndCatalogueAgree) {
  const EventTable code = EventsInCode();
  const EventTable catalogue = EventsInCatalogue();
  CHECK(!code.empty());
  for (const auto& [number, entry] : code) {
    const auto found = catalogue.find(number);
    CHECK_TEXT(
        found != catalogue.end(),
        (std::to_string(number) + " is missing in docs/log-events.md").c_str());
    CHECK_TEXT(found->second == entry,
               (std::to_string(number) + " has another severity or name in "
                                         "docs/log-events.md")
                   .c_str());
  }
  for (const auto& [number, entry] : catalogue) {
    CHECK_TEXT(
        code.contains(number),
        (std::to_string(number) + " is in docs/log-events.md only").c_str());
  }
}

}  // namespace
}  // namespace bramleyrail
