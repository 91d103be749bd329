#include "packages/control/relayed_message.h"

#include <tuple>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr std::string_view kRetryAfter = "Retry-After";

}  // namespace

auto Fields(codec::Is<RelayedRequest> auto& v) {
  return std::tie(v.from_caller, v.method, v.target, v.host, v.body,
                  v.order_revision.asked, v.order_revision.expected,
                  v.asks_members);
}
auto Fields(codec::Is<RelayedResponse> auto& v) {
  return std::tie(v.not_leader, v.leader, v.status, v.retry_after_s, v.body,
                  v.members);
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
  return {from == RelayOrigin::kCaller,
          std::move(request.method),
          std::move(request.target),
          std::move(host),
          std::move(request.body),
          revision,
          false};
}

HttpRequest FromRelayed(RelayedRequest request) {
  HttpRequest received{.method = std::move(request.method),
                       .target = std::move(request.target),
                       .headers = {{"Host", std::move(request.host)}},
                       .body = std::move(request.body)};
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
  return response;
}

}  // namespace bramleyrail
