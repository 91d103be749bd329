#ifndef PACKAGES_CALLER_FAKES_TEST_CLUSTER_H_
#define PACKAGES_CALLER_FAKES_TEST_CLUSTER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "packages/caller/caller.h"
#include "packages/target/fakes/stand_in_target.h"

namespace bramleyrail {

// Several instances in one process that share one ClusterState. The connections
// between them can be interrupted. Instances are named "i0", "i1" and so on.
class TestCluster {
 public:
  enum class Link {
    kUp,
    kDown,              // Calls fail and messages are dropped.
    kLoseResponses,     // Calls are executed, but their responses are lost.
    kLoseNextResponse,  // The next response is lost; then the link is down.
  };

  explicit TestCluster(size_t instances);
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  RequestService& request_service(size_t index) {
    return *request_services_[index];
  }
  // Starts a target that announces itself to the given instances, and waits
  // until one has accepted it and all instances have its service.
  StandInTarget* AddTarget(StandInTarget::Options options,
                           const std::vector<size_t>& instances);
  // Waits until the instance's routing table contains the service.
  void WaitForService(size_t instance, const std::string& service);

  void SetLink(Link link) { link_.store(link); }
  // Without a quorum, proposals fail. With lost outcomes, proposals are applied
  // but their callbacks receive kOutcomeUnknown.
  void SetQuorum(bool quorum) { quorum_.store(quorum); }
  void SetLoseOutcomes(bool lose) { lose_outcomes_.store(lose); }
  void Apply(CommandBody body);
  std::optional<Claim> FindClaim(const std::string& id);

  struct Response {
    int status = 0;
    std::string body;
    Json json;  // Null when the body is not JSON.
    httplib::Headers headers;
    bool not_run() const {
      return json.is_object() && json.value("not_run", false);
    }
  };
  Response Send(size_t instance,
                const std::string& service,
                const std::string& body,
                const httplib::Headers& headers);
  Response State(size_t instance, const std::string& request_id);

 private:
  StateAccess MakeStateAccess();
  PeerHooks MakePeerHooks(size_t index);

  std::atomic<Link> link_{Link::kUp};
  std::atomic<bool> quorum_{true};
  std::atomic<bool> lose_outcomes_{false};
  absl::Mutex state_mutex_;
  ClusterState state_ ABSL_GUARDED_BY(state_mutex_);
  size_t count_;
  std::vector<std::unique_ptr<RequestService>> request_services_;
  std::vector<std::unique_ptr<StandInTarget>> targets_;
};

// Waits up to 30 s for a condition. Returns false after a timeout.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_FAKES_TEST_CLUSTER_H_
