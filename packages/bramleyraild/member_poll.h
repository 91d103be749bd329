#ifndef PACKAGES_BRAMLEYRAILD_MEMBER_POLL_H_
#define PACKAGES_BRAMLEYRAILD_MEMBER_POLL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "packages/control/control.h"
#include "packages/http/http.h"

namespace bramleyrail {

// Asks all known control instances once a second who is a member of the core.
// Only the leader lists the members, since another instance may be out of date;
// the others name the leader. All methods must be called on the thread of the
// loop, and the hooks run there.
class MemberPoll {
 public:
  struct Options {
    std::function<std::vector<std::string>()> instances;
    // As in LeaderRelay.
    decltype(LeaderRelay::Options::call) call;
    // The leader has answered. The list is empty when its version is older than
    // this query.
    std::function<void(std::vector<std::string> members)> on_leader_answer;
    // An instance that does not lead has named the leader.
    std::function<void(const std::string& leader)> on_leader_named;
  };

  MemberPoll(IoLoop* loop, Options options);
  ~MemberPoll();
  MemberPoll(const MemberPoll&) = delete;
  MemberPoll& operator=(const MemberPoll&) = delete;

  void Start();

 private:
  void HandleAnswer(const Result<std::vector<std::byte>>& result);

  IoLoop* const loop_;
  const Options options_;
  const std::vector<std::byte> query_;
  const std::shared_ptr<bool> alive_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_MEMBER_POLL_H_
