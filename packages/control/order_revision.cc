#include "packages/control/order_revision.h"

#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "packages/base/base.h"

namespace bramleyrail {

namespace {

constexpr std::string_view kHeader = "X-Order-Revision";
constexpr std::string_view kAsked = "asked";
constexpr char kRevisionField[] = "order_revision";
constexpr int kStatusOk = 200;

}  // namespace

OrderRevision OrderRevisionOf(const HttpRequest& request) {
  const std::string text(FindHeader(request.headers, kHeader));
  OrderRevision revision;
  revision.asked = text == kAsked;
  int64_t expected = 0;
  if (absl::SimpleAtoi(text, &expected)) {
    revision.expected = expected;
  }
  return revision;
}

void SetOrderRevision(const OrderRevision& revision, HttpRequest* request) {
  RemoveOrderRevision(request);
  if (revision.asked) {
    request->headers.emplace_back(kHeader, kAsked);
  } else if (revision.expected) {
    request->headers.emplace_back(kHeader, absl::StrCat(*revision.expected));
  }
}

void RemoveOrderRevision(HttpRequest* request) {
  std::erase_if(request->headers, [](const auto& header) {
    return absl::EqualsIgnoreCase(
        header.first, absl::string_view(kHeader.data(), kHeader.size()));
  });
}

HttpResponse MakeRevisionResponse(int64_t revision) {
  return {.status = kStatusOk, .body = Json{{kRevisionField, revision}}.dump()};
}

std::optional<int64_t> RevisionOf(const HttpResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status != kStatusOk || !body.is_object()) {
    return std::nullopt;
  }
  const auto field = body.find(kRevisionField);
  return field != body.end() && field->is_number_integer()
             ? std::optional<int64_t>(field->get<int64_t>())
             : std::nullopt;
}

}  // namespace bramleyrail
