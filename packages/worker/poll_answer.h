#ifndef PACKAGES_WORKER_POLL_ANSWER_H_
#define PACKAGES_WORKER_POLL_ANSWER_H_

#include <string>
#include <string_view>

#include "packages/worker/poll_request.h"
#include "packages/worker/worker_view.h"

namespace bramleyrail {

// What the instance knows about itself when it answers.
struct InstanceCondition {
  bool fresh = false;
  bool draining = false;
};

// The JSON body of the answer to a poll.
std::string WritePollAnswer(const WorkerView& view,
                            const InstanceCondition& instance,
                            const PollRequest& request);

// {"error": {"kind", "message", "remedy", "faults": [{"path", "message"}]}}
std::string WriteErrorBody(const Error& error);

// The form of WorkerView::version in polls and answers.
std::string VersionText(uint64_t version);

}  // namespace bramleyrail

#endif  // PACKAGES_WORKER_POLL_ANSWER_H_
