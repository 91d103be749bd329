#include "packages/control/relayed_message.h"

// CppUTest redefines operator new, so its header follows the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(RelayedMessage){};

// Guards against instances of two versions that cannot read each other: the
// fields for the members of the core came last.
TEST(RelayedMessage, FieldsOfTheMembersMayBeMissing) {
  const auto request = DecodeRelayedRequest(codec::ToCbor(Json::array(
      {true, "GET", "/queue/1", "host", "", false, Json::array()})));
  CHECK(request.has_value());
  CHECK(!request.value().asks_members);
  const auto response = DecodeRelayedResponse(
      codec::ToCbor(Json::array({false, "", 404, 0, ""})));
  CHECK(response.has_value());
  CHECK(response.value().members.empty());
}

TEST(RelayedMessage, FieldsOfTheMembersTravel) {
  const auto request =
      DecodeRelayedRequest(EncodeRelayed(RelayedRequest{.asks_members = true}));
  CHECK(request.has_value());
  CHECK(request.value().asks_members);
  RelayedResponse response;
  response.members = {"control-10.0.0.1", "control-10.0.0.2"};
  const auto received = DecodeRelayedResponse(EncodeRelayed(response));
  CHECK(received.has_value());
  CHECK(response.members == received.value().members);
}

}  // namespace
}  // namespace bramleyrail
