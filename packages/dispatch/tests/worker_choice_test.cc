#include "packages/dispatch/worker_choice.h"

#include "packages/dispatch/fakes/worker_with_target.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(WorkerChoice) {
  const JobStep disturber_ = WorkerWithTarget::SpareStep("disturber");
  const JobStep harmless_ = WorkerWithTarget::SpareStep("harmless");
  const WorkerChoice choice_{WorkerChoice::Options{}};
  QueuedJob job_;
  DisturbanceModel model_;
  WorkerTracks workers_;
  // Its runs are those that "disturber" disturbs.
  WorkerWithTarget sensitive_{"a-sensitive"};
  WorkerWithTarget robust_{"b-robust", "robust"};

  void setup() override {
    job_.pool = "pool";
    WorkerWithTarget::Teach(disturber_, harmless_, &model_);
    for (WorkerWithTarget* worker : {&sensitive_, &robust_}) {
      worker->SetTail(8);
      workers_.emplace(worker->track().registration().id,
                       std::make_unique<WorkerTrack>(worker->track()));
    }
  }

  std::string Choose(const JobStep& step, Milliseconds late) {
    RunRequest request;
    request.job = &job_;
    request.step = &step;
    request.late = late;
    const WorkerTrack* worker =
        choice_.Choose(request, workers_, {}, model_, WorkerWithTarget::Now());
    return worker == nullptr ? "" : worker->registration().id;
  }
};

// Guards against spare runs beside those that they are known to disturb.
TEST(WorkerChoice, DisturberGoesWhereItDisturbsNothing) {
  STRCMP_EQUAL("b-robust", Choose(disturber_, Milliseconds(-5'000)).c_str());
  workers_.erase("b-robust");
  STRCMP_EQUAL("", Choose(disturber_, Milliseconds(-5'000)).c_str());
}

// Guards against harmless runs that fill the only workers which others fit.
TEST(WorkerChoice, HarmlessRunLeavesTheOpenWorkerToOthers) {
  STRCMP_EQUAL("a-sensitive", Choose(harmless_, Milliseconds(-5'000)).c_str());
}

// Guards against new spare runs beside a run that misses its target just now.
TEST(WorkerChoice, MissedTargetKeepsSpareRunsAway) {
  sensitive_.SetTail(2 * WorkerWithTarget::kTargetMs);
  workers_["a-sensitive"] = std::make_unique<WorkerTrack>(sensitive_.track());
  STRCMP_EQUAL("b-robust", Choose(harmless_, Milliseconds(5'000)).c_str());
}

// Guards against long-running tasks that leave no worker with room for a large
// task.
TEST(WorkerChoice, LongRunningTasksArePackedAndOthersSpread) {
  workers_.clear();
  JobStep step;
  step.size = {2'000, 1'000, 0};
  for (const char* id : {"a-empty", "b-used"}) {
    workers_.emplace(
        id, std::make_unique<WorkerTrack>(WorkerRegistration{
                .id = id, .pool = "pool", .capacity = {16'000, 64'000, 0}}));
    workers_[id]->heard = true;
    workers_[id]->ObserveClock(1, WorkerWithTarget::Now());
    workers_[id]->last_answer = WorkerWithTarget::Now();
  }
  TrackedRun run;
  run.step = &step;
  run.reserved = step.size;
  workers_["b-used"]->AddRun({{"other", 0, 0, 0}, 1}, run);
  STRCMP_EQUAL("a-empty", Choose(step, Milliseconds(0)).c_str());
  step.long_running = true;
  STRCMP_EQUAL("b-used", Choose(step, Milliseconds(0)).c_str());
}

// Guards against a disturber that starts at full pace beside its victims.
TEST(WorkerChoice, FirstPaceLeavesHeadroom) {
  CHECK(WorkerChoice::FirstPace(disturber_, sensitive_.track(), model_) < 100);
  LONGS_EQUAL(100,
              WorkerChoice::FirstPace(harmless_, sensitive_.track(), model_));
}

}  // namespace
}  // namespace bramleyrail
