#include "packages/control/relayed_message.h"

#include <tuple>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr std::string_view kRetryAfter = "Retry-After";
constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kAuthenticate = "WWW-Authenticate";

std::vector<std::string> CredentialsOf(const HttpHeaders& headers) {
  std::vector<std::string> values;
  for (const auto& [name, value] : headers) {
    if (absl::EqualsIgnoreCase(
            name,
            absl::string_view(kAuthorization.data(), kAuthorization.size()))) {
      values.push_back(value);
    }
  }
  return values;
}

}  // namespace

auto Fields(codec::Is<RelayedRequest> auto& v) {
  return std::tie(v.from_caller, v.method, v.target, v.host, v.body,
                  v.order_revision.asked, v.order_revision.expected,
                  v.asks_members, v.credentials);
}
auto Fields(codec::Is<RelayedResponse> auto& v) {
  return std::tie(v.not_leader, v.leader, v.status, v.retry_after_s, v.body,
                  v.members, v.challenge);
}

std::vector<std::byte> EncodeRelayed(const RelayedRequest& request) {
  return codec::Encode(request);
}

std::vector<std::byte> EncodeRelayed(const RelayedResponse& response) {
  return codec::Encode(response);
}

Result<RelayedRequest> DecodeRelayedRequest(std::span<const std::byte> data) {
  return codec::Decode<RelayedRequest>(data, "the relayed request");
}

Result<RelayedResponse> DecodeRelayedResponse(std::span<const std::byte> data) {
  return codec::Decode<RelayedResponse>(data, "the relayed response");
}

RelayedRequest ToRelayed(HttpRequest request, RelayOrigin from) {
  std::string host(FindHeader(request.headers, "Host"));
  const OrderRevision revision = OrderRevisionOf(request);
  // Operators and workers present no key of an account.
  std::vector<std::string> credentials;
  if (from == RelayOrigin::kCaller) {
    credentials = CredentialsOf(request.headers);
  }
  return {from == RelayOrigin::kCaller, std::move(request.method),
          std::move(request.target),    std::move(host),
          std::move(request.body),      revision,
          /*asks_members=*/false,       std::move(credentials)};
}

HttpRequest FromRelayed(RelayedRequest request) {
  HttpRequest received{.method = std::move(request.method),
                       .target = std::move(request.target),
                       .headers = {{"Host", std::move(request.host)}},
                       .body = std::move(request.body)};
  for (std::string& value : request.credentials) {
    received.headers.emplace_back(kAuthorization, std::move(value));
  }
  SetOrderRevision(request.order_revision, &received);
  return received;
}

RelayedResponse ToRelayed(HttpResponse response) {
  RelayedResponse relayed;
  relayed.status = response.status;
  const std::string retry_after(FindHeader(response.headers, kRetryAfter));
  if (!retry_after.empty() &&
      !absl::SimpleAtoi(retry_after, &relayed.retry_after_s)) {
    relayed.retry_after_s = 1;
  }
  relayed.challenge = FindHeader(response.headers, kAuthenticate);
  relayed.body = std::move(response.body);
  return relayed;
}

HttpResponse FromRelayed(RelayedResponse relayed) {
  HttpResponse response;
  response.status = static_cast<int>(relayed.status);
  response.body = std::move(relayed.body);
  if (relayed.retry_after_s > 0) {
    response.headers.emplace_back(kRetryAfter,
                                  absl::StrCat(relayed.retry_after_s));
  }
  if (!relayed.challenge.empty()) {
    response.headers.emplace_back(kAuthenticate, std::move(relayed.challenge));
  }
  return response;
}

}  // namespace bramleyrail
