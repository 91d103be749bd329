#ifndef PACKAGES_STATE_FAKES_LOCAL_STATE_H_
#define PACKAGES_STATE_FAKES_LOCAL_STATE_H_

#include <functional>
#include <optional>

#include "absl/synchronization/mutex.h"
#include "packages/state/fakes/state_driver.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Provides StateAccess to a StateDriver in this process. Proposals are applied
// immediately, on the calling thread.
class LocalState {
 public:
  StateAccess Access();

  // Calls the function with the driver under the lock. Threads that wait for a
  // newer revision are woken.
  void Change(const std::function<void(StateDriver&)>& change);

  // Makes the next proposals fail with this error; nullopt: makes them succeed.
  void FailProposals(std::optional<Error> error);
  void SetAge(std::optional<Milliseconds> age);

 private:
  absl::Mutex mutex_;
  StateDriver driver_;
  std::optional<Error> proposal_error_;
  std::optional<Milliseconds> age_ = Milliseconds(7);
};

}  // namespace bramleyrail

#endif  // PACKAGES_STATE_FAKES_LOCAL_STATE_H_
