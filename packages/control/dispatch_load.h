#ifndef PACKAGES_CONTROL_DISPATCH_LOAD_H_
#define PACKAGES_CONTROL_DISPATCH_LOAD_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "packages/dispatch/dispatch.h"
#include "packages/http/http.h"

namespace bramleyrail {

// The clients that call workers. A renewal keeps a connection for up to its
// wait, and must not wait for one itself while starts come in bursts.
struct WorkerClients {
  AsyncHttpClient* orders = nullptr;  // All but lease renewals.
  AsyncHttpClient* renewals = nullptr;
};

// Work of a dispatch loop since its last report: time by phase, and counts of
// what each phase looked at, which tell a dear phase from a frequent one.
class DispatchLoad {
 public:
  using Duration = std::chrono::nanoseconds;

  // Durations of the phases of one step.
  struct Step {
    Duration synchronize{0};
    Duration decide{0};
    Duration send{0};
  };

  void AddStep(const Step& step);
  void AddResponse(Duration duration);
  void AddOrder(const WorkerOrder& order);
  // The timer of the loop ran this late.
  void AddDelay(Duration delay);

  // Logs the load and begins anew.
  void Report(const Dispatcher& dispatcher, const WorkerClients& clients);
  // Begins anew without a report, as after a loss of the leadership.
  void Reset() { *this = {}; }

 private:
  int64_t steps_ = 0;
  Step step_time_;
  Duration longest_step_{0};
  Duration longest_delay_{0};
  int64_t responses_ = 0;
  Duration response_time_{0};
  int64_t starts_ = 0;
  int64_t renewals_ = 0;
  int64_t other_orders_ = 0;
  // Of the dispatcher at the last report.
  Dispatcher::Counters reported_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_CONTROL_DISPATCH_LOAD_H_
