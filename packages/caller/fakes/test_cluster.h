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

// Several instances in one process over one ClusterState, with calls between
// them that can be cut. Instances are called "i0", "i1" and so on.
class TestCluster {
 public:
  enum class Link {
    kUp,
    kDown,           // Nothing is sent.
    kLoseAnswers,    // Calls run, but their answers are lost.
    kLoseOneAnswer,  // The next answer is lost, and the link goes down.
  };

  explicit TestCluster(size_t instances);
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  RequestPlane& plane(size_t index) { return *planes_[index]; }
  // Starts a target that knows the instances given, and waits for its session.
  StandInTarget* AddTarget(StandInTarget::Options options,
                           const std::vector<size_t>& instances);
  // Waits until the instance sees the service with capacity.
  void WaitForService(size_t instance, const std::string& service);

  void SetLink(Link link) { link_.store(link); }
  // Without a quorum, proposals fail; with lost outcomes, they are applied.
  void SetQuorum(bool quorum) { quorum_.store(quorum); }
  void SetLoseOutcomes(bool lose) { lose_outcomes_.store(lose); }
  void Apply(CommandBody body);
  std::optional<Claim> FindClaim(const std::string& id);

  struct Answer {
    int status = 0;
    std::string body;
    Json json;  // Null when the body is no JSON.
    httplib::Headers headers;
    bool not_run() const {
      return json.is_object() && json.value("not_run", false);
    }
  };
  Answer Send(size_t instance,
              const std::string& service,
              const std::string& body,
              const httplib::Headers& headers);
  Answer State(size_t instance, const std::string& request_id);

 private:
  StateAccess AccessState();
  PeerHooks HooksOf(size_t index);

  std::atomic<Link> link_{Link::kUp};
  std::atomic<bool> quorum_{true};
  std::atomic<bool> lose_outcomes_{false};
  absl::Mutex state_mutex_;
  ClusterState state_ ABSL_GUARDED_BY(state_mutex_);
  size_t count_;
  std::vector<std::unique_ptr<RequestPlane>> planes_;
  std::vector<std::unique_ptr<StandInTarget>> targets_;
};

// Waits for a condition with a generous limit; false when it never held.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace bramleyrail

#endif  // PACKAGES_CALLER_FAKES_TEST_CLUSTER_H_
