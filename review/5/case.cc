// A machine of the core is frozen while it holds the end of an evacuation that
// the operator has sent again, to another machine, and has revoked since.

#include <array>
#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>

#include "../stand_ins/deployment.h"

namespace review {
namespace {

using Json = nlohmann::json;

constexpr size_t kExecutors = 6;
constexpr Milliseconds kFreeze{3'500};
// evacuate_ms, and contact_ms after the thaw.
constexpr Milliseconds kEvacuateTime{5'000};
constexpr Milliseconds kContactTime{4'000};
constexpr Milliseconds kMargin{1'000};
constexpr const char* kZone = "zone-c";
constexpr const char* kPlan = "00000000000000b1";

class Case {
 public:
  Case(const std::string& root, const std::string& file, bool trouble)
      : record_(file), deployment_(root, &record_), trouble_(trouble) {}

  // 0: the rule held; 1: it was broken; 2: the case could not run.
  int Run() {
    if (!deployment_.Start()) {
      return 2;
    }
    options_.service = deployment_.service();
    options_.SetControl(deployment_.ControlAddresses());
    for (size_t i = 0; i < kExecutors; ++i) {
      executors_[i] = std::make_unique<Executor>(
          "i-" + std::to_string(i), deployment_.zone(i),
          deployment_.ExecutorIp(i), deployment_.executor_port(), &options_,
          &runs_, &record_);
      executors_[i]->Start();
    }
    SleepFor(Milliseconds(3'000));
    const auto leader = deployment_.WaitForLeader(Milliseconds(3'000));
    if (!leader) {
      return 2;
    }
    const size_t frozen = (*leader + 1) % Deployment::kControls;
    const size_t other = (*leader + 2) % Deployment::kControls;
    const std::string target = std::string("/evacuation/") + kZone;
    if (!Order("POST", target, {*leader, other})) {
      return 2;
    }
    SleepFor(Milliseconds(1'000));
    if (trouble_) {
      deployment_.SignalControl(frozen, SIGSTOP);
    }
    const Clock::time_point stopped = Clock::now();
    SleepFor(Milliseconds(200));
    // The operator picks the frozen machine, and the next one after a second.
    if (!Order("DELETE", target, {frozen, other, *leader})) {
      return 2;
    }
    SleepFor(Milliseconds(500));
    if (!Order("POST", target, {other, *leader})) {
      return 2;
    }
    const double acknowledged = record_.Now();
    SleepFor(std::chrono::ceil<Milliseconds>(stopped + kFreeze - Clock::now()));
    if (trouble_) {
      deployment_.SignalControl(frozen, SIGCONT);
    }
    SleepFor(kEvacuateTime + kContactTime + kMargin);
    if (!deployment_.Submit(kPlan, Plan())) {
      return 2;
    }
    SleepFor(Milliseconds(4'000));
    return Judge(acknowledged);
  }

 private:
  bool Order(const std::string& method,
             const std::string& target,
             const std::vector<size_t>& machines) {
    for (const size_t machine : machines) {
      if (deployment_.Operate(machine, method, target, "").status == 200) {
        return true;
      }
    }
    return false;
  }

  static std::string Plan() {
    const Json spec{{"work_ms", 2'000}, {"cpu", 2'000}, {"mem_mb", 256}};
    const Json step{
        {"count", 24}, {"cpu", 2'000}, {"mem_mb", 256}, {"estimate_ms", 2'000}};
    return Json{{"spec", spec.dump()}, {"steps", {step}}}.dump();
  }

  int Judge(double acknowledged) {
    const double bound =
        acknowledged + std::chrono::duration<double>(kEvacuateTime).count();
    size_t starts = 0;
    size_t in_zone = 0;
    for (const RunOfTask& run : runs_.Runs()) {
      starts += 1;
      in_zone += run.zone == kZone && run.started > bound ? 1 : 0;
    }
    record_.Write("judged  " + std::to_string(starts) + " starts, " +
                  std::to_string(in_zone) + " of them in " + kZone +
                  " more than evacuate_ms after its evacuation was "
                  "acknowledged");
    if (starts == 0) {
      return 2;
    }
    return in_zone == 0 ? 0 : 1;
  }

  Record record_;
  RunLog runs_;
  ExecutorOptions options_;
  Deployment deployment_;
  std::array<std::unique_ptr<Executor>, kExecutors> executors_;
  const bool trouble_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const bool trouble = review::Environment("TROUBLE", "1") != "0";
  return review::Case(argv[1], argv[2], trouble).Run();
}
