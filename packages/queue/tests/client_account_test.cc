#include "packages/queue/client_account.h"

#include "absl/strings/str_cat.h"
#include "packages/queue/queue_codec.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kKey[] = "secret-of-a";

std::vector<FieldFault> Faults(const std::vector<ClientAccount>& accounts) {
  std::vector<FieldFault> faults;
  CheckAccounts(accounts, &faults);
  return faults;
}

TEST_GROUP(ClientAccount){};

// Fails when accounts are accepted that a key or a name does not tell apart, or
// a key that no call can carry; or when a fault hides the account or shows the
// key.
TEST(ClientAccount, FaultsNameTheAccountAndNoKey) {
  const ClientAccount a{.name = "a", .keys = {kKey}};
  CHECK(Faults({a, {.name = "b", .keys = {"x"}}}).empty());
  CHECK(Faults({{.name = "a", .keys = {kKey, kKey}}}).empty());
  CHECK(Faults({{.name = "a"}}).empty());
  for (const std::vector<ClientAccount>& accounts :
       std::vector<std::vector<ClientAccount>>{
           {a, {.name = "b", .keys = {"x", kKey}}},
           {a, {.name = "a", .keys = {"x"}}},
           {{.name = "a", .keys = {absl::StrCat(kKey, " ")}}},
           {{.name = "a", .keys = {absl::StrCat(kKey, "\xc3\xa4")}}},
           {{.name = "a", .keys = {absl::StrCat(kKey, "\n")}}},
           {{.name = "a",
           .keys = {absl::StrCat(kKey, std::string(10'240, 'x'))}}},
           {{.name = "a", .keys = {""}}},
           {{.name = "a", .weight = 0}}}) {
    const std::vector<FieldFault> faults = Faults(accounts);
    LONGS_EQUAL(1, faults.size());
    STRCMP_CONTAINS(accounts.back().name.c_str(), faults[0].path.c_str());
    CHECK(faults[0].message.find(kKey) == std::string::npos);
  }
  LONGS_EQUAL(1, Faults({{.name = ""}}).size());
  LONGS_EQUAL(1, Faults({{.name = std::string(1'000, 'n')}}).size());
}

// Fails when state that an earlier version stored cannot be read: no instance
// would start again.
TEST(ClientAccount, RecordsWithoutAccountsAreRead) {
  const auto configuration = codec::Decode<QueueConfiguration>(
      codec::ToCbor(Json::array(
          {7, "text",
           Json::array({Json::array({"q", "host", "/q/", "pool", 3000, 0, 1,
                                     1.5, 600, Json::array()})}),
           Json::array()})),
      "the configuration");
  CHECK(configuration.has_value());
  CHECK(configuration.value().accounts.empty());
  CHECK(!configuration.value().queues[0].is_public);
  SubmitJob submission;
  submission.id = "job";
  Json fields = codec::Pack(submission);
  fields.erase(fields.size() - 1);
  const auto submitted =
      codec::Decode<SubmitJob>(codec::ToCbor(fields), "the submission");
  CHECK(submitted.has_value());
  STRCMP_EQUAL("job", submitted.value().id.c_str());
}

}  // namespace
}  // namespace bramleyrail
