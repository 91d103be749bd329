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

// Fails when the leader cannot see which account calls, or when a header of an
// operator or a worker is taken for credentials.
TEST(RelayedMessage, CredentialsOfCallersTravel) {
  const HttpRequest request{
      .method = "POST",
      .target = "/queue/1",
      .headers = {{"authorization", "Token a"}, {"Authorization", "Token b"}}};
  const auto relay = [&request](RelayOrigin from) {
    return FromRelayed(
        DecodeRelayedRequest(EncodeRelayed(ToRelayed(request, from))).value());
  };
  const HttpRequest received = relay(RelayOrigin::kCaller);
  LONGS_EQUAL(3, received.headers.size());  // With the host.
  STRCMP_EQUAL("Token a", received.headers[1].second.c_str());
  STRCMP_EQUAL("Token b", received.headers[2].second.c_str());
  LONGS_EQUAL(1, relay(RelayOrigin::kOperatorOrWorker).headers.size());
}

TEST(RelayedMessage, ChallengeTravels) {
  const HttpResponse refusal{.status = 401,
                             .headers = {{"WWW-Authenticate", "Token"}}};
  const HttpResponse received = FromRelayed(
      DecodeRelayedResponse(EncodeRelayed(ToRelayed(refusal))).value());
  LONGS_EQUAL(401, received.status);
  CHECK(FindHeader(received.headers, "WWW-Authenticate") == "Token");
}

}  // namespace
}  // namespace bramleyrail
