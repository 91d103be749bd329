#ifndef PACKAGES_BRAMLEYCTL_WATCH_SUBSCRIPTION_H_
#define PACKAGES_BRAMLEYCTL_WATCH_SUBSCRIPTION_H_

#include <functional>
#include <string>

#include "packages/base/base.h"
#include "packages/bramleyctl/server_client.h"

namespace bramleyrail {

// Reads one stream of lines from one server until the handler stops it, the
// stream ends, or nothing was received for the silence limit of watches.
class WatchSubscription {
 public:
  // Returns false to end the stream.
  using LineHandler = std::function<bool(const Json& line)>;

  // Success when the handler ended the stream. An answer other than a stream
  // is its typed error, a cut stream is kUnavailable, and a line that is no
  // JSON is kDataLoss.
  static Result<void> Read(const ServerAddress& server,
                           const std::string& path,
                           const LineHandler& handler);
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_WATCH_SUBSCRIPTION_H_
