#include "packages/base/base.h"
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(Base){};

// Guards against a checksum of another polynomial, which would make stored
// logs unreadable for other versions.
TEST(Base, Crc32cMatchesThePublishedCheckValue) {
  UNSIGNED_LONGS_EQUAL(0xE3069283u, Crc32c(AsBytes("123456789")));
}

TEST(Base, NameRulesRefuseWhatCannotStandInAUrl) {
  CHECK(ValidateName("quote-check.v2").has_value());
  CHECK(!ValidateName("").has_value());
  CHECK(!ValidateName("Quote").has_value());
  CHECK(!ValidateName("-quote").has_value());
  CHECK(!ValidateName("a/b").has_value());
  CHECK(!ValidateName(std::string(64, 'a')).has_value());
}

// Guards against a reader that stops at the first fault.
TEST(Base, JsonReaderCollectsEveryFaultWithItsPath) {
  const Json object =
      ParseJson(R"({"replicas": "two", "colour": 1})", JsonComments::kRefuse)
          .value();
  std::vector<FieldFault> faults;
  JsonReader reader(object, "spec", &faults);
  reader.Integer("replicas", JsonReader::Presence::kRequired, {});
  reader.String("team", JsonReader::Presence::kRequired);
  reader.RefuseUnknownFields();
  LONGS_EQUAL(3, faults.size());
  STRCMP_EQUAL("spec.replicas", faults[0].path.c_str());
  STRCMP_EQUAL("spec.team", faults[1].path.c_str());
  STRCMP_EQUAL("spec.colour", faults[2].path.c_str());
}

}  // namespace
}  // namespace bramleyrail
