#ifndef PACKAGES_CONTROL_ORDER_REVISION_H_
#define PACKAGES_CONTROL_ORDER_REVISION_H_

#include <cstdint>
#include <optional>

#include "packages/http/http.h"

namespace bramleyrail {

// Status of the response to an order whose subject does not have the expected
// revision any more. Only instances see it.
inline constexpr int kStatusSuperseded = 412;

// What an order that passes between instances says of the revision of its
// subject; see OrderConfirmation.
struct OrderRevision {
  // The order is not to be carried out: the response tells the revision.
  bool asked = false;
  std::optional<int64_t> expected;
};

OrderRevision OrderRevisionOf(const HttpRequest& request);
void SetOrderRevision(const OrderRevision& revision, HttpRequest* request);
void RemoveOrderRevision(HttpRequest* request);

HttpResponse MakeRevisionResponse(int64_t revision);
// nullopt when the response does not tell a revision.
std::optional<int64_t> RevisionOf(const HttpResponse& response);

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_ORDER_REVISION_H_
