#include "packages/dispatch/worker_ranking.h"

#include <utility>

namespace bramleyrail {

WorkerRanking::WorkerRanking(const WorkerSelector* selector,
                             const EligibleWorkers* eligible,
                             const LatencyInterferenceModel* model,
                             WorkerRequest request,
                             uint64_t* ratings)
    : selector_(selector),
      eligible_(eligible),
      model_(model),
      request_(std::move(request)),
      ratings_(ratings) {
  rejections_.ineligible = eligible_->ineligible;
  for (size_t position = 0; position < eligible_->workers.size(); ++position) {
    Rate(position);
  }
}

WorkerSelection WorkerRanking::Select() {
  WorkerSelection selection;
  selection.protection = WorkerSelector::ProtectionAfter(request_.waited);
  if (best_.empty()) {
    selection.rejections = rejections_;
  } else {
    selection.worker = eligible_->workers[best_.top().second];
  }
  return selection;
}

void WorkerRanking::Update() {
  const size_t position = best_.top().second;
  best_.pop();
  Rate(position);
}

void WorkerRanking::Rate(size_t position) {
  ++*ratings_;
  const auto score = selector_->Rate(request_, eligible_->workers[position],
                                     *model_, &rejections_);
  if (score) {
    best_.emplace(*score, position);
  }
}

}  // namespace bramleyrail
