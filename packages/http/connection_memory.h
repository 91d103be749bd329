#ifndef PACKAGES_HTTP_CONNECTION_MEMORY_H_
#define PACKAGES_HTTP_CONNECTION_MEMORY_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "packages/base/base.h"
#include "packages/http/limit_report.h"

namespace bramleyrail {

// Bounds what the connections of all servers of one loop together make the
// process keep. All calls on the thread of the loop.
class ConnectionMemory {
 public:
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  // The part of one connection.
  class Account {
   public:
    // `close` closes the connection to make room for others. It must not
    // destroy the account before it returns.
    Account(std::shared_ptr<ConnectionMemory> memory,
            std::function<void()> close);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    // Sets what the connection keeps. When that does not fit, closes other
    // connections that wait for their clients, beginning with the one whose
    // client was silent for longest. Returns false, and changes nothing, when
    // there is still no room.
    bool Resize(size_t bytes);
    // The connection keeps something until its client sends or takes more, and
    // the client has just done so.
    void AwaitClient();
    // The connection keeps nothing, or the process works for it.
    void StopAwaiting();

    size_t bytes() const { return bytes_; }

   private:
    friend class ConnectionMemory;

    const std::shared_ptr<ConnectionMemory> memory_;
    const std::function<void()> close_;
    size_t bytes_ = 0;
    std::optional<std::list<Account*>::iterator> awaiting_;
  };

  explicit ConnectionMemory(size_t limit_bytes) : limit_(limit_bytes) {}

  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  LimitReport& report() { return report_; }
  void AppendSamples(std::vector<MetricSample>* samples) const;

 private:
  bool MakeRoom(Account* account, size_t bytes);

  const size_t limit_;
  size_t used_ = 0;
  // The one whose client was silent for longest first.
  std::list<Account*> awaiting_;
  LimitReport report_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_CONNECTION_MEMORY_H_
