#ifndef PACKAGES_BRAMLEYCTL_WATCH_CURSOR_H_
#define PACKAGES_BRAMLEYCTL_WATCH_CURSOR_H_

#include <cstdint>

#include "packages/base/base.h"

namespace bramleyrail {

// Keeps the place in a stream of changes over several connections, so that
// every change is shown exactly once. Several lines may carry one revision, so
// a lost connection resumes before the last revision and the lines of it that
// were shown are skipped; their order is that of the replicated log, the same
// at every instance.
class WatchCursor {
 public:
  enum class Step {
    kShow,      // A change to show.
    kContinue,  // Nothing to show.
    kResume,    // The stream ends; resume at another instance.
    kCompacted  // The history is gone; list again.
  };

  explicit WatchCursor(int64_t revision) : complete_revision_(revision) {}

  // Every change up to this revision was shown.
  int64_t resume_revision() const { return complete_revision_; }

  // A new connection starts after resume_revision().
  void StartStream();
  // Handles one line. kDataLoss when it is no line of a watch.
  Result<Step> Handle(const Json& line);

 private:
  Step HandleChange(int64_t revision);
  void Complete(int64_t revision);

  int64_t complete_revision_;
  int64_t open_revision_ = 0;  // Of the last line, when it is not complete.
  int64_t shown_in_open_ = 0;
  int64_t to_skip_in_open_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_WATCH_CURSOR_H_
