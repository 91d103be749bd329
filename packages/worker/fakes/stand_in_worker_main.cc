#include <gflags/gflags.h>
#include <signal.h>

#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"
#include "packages/worker/fakes/stand_in_worker.h"

DEFINE_string(name, "", "name of the worker");
DEFINE_string(boot_id, "", "boot id; empty: a new one");
DEFINE_string(addresses, "", "HOST:PORT of instances, separated by commas");
DEFINE_string(failure_domain, "", "failure domain of the worker");
DEFINE_string(rack, "", "rack of the worker");
DEFINE_int64(processor_millis, 16'000, "capacity in thousandths of a core");
DEFINE_int64(memory_mib, 61'440, "capacity in MiB");
DEFINE_int64(accelerators, 0, "number of accelerators");
DEFINE_string(attempt_log,
              "",
              "file to which start and end of every attempt are appended");
DEFINE_int64(poll_wait_ms, 500, "time that a poll may be held back");
DEFINE_int64(usage_lag_ms, 2000, "age of usage when it is reported");

namespace {

bramleyrail::StandInWorker::Options OptionsFromFlags() {
  bramleyrail::StandInWorker::Options options;
  options.name = FLAGS_name;
  options.boot_id = FLAGS_boot_id;
  options.spec.failure_domain = FLAGS_failure_domain;
  options.spec.rack = FLAGS_rack;
  options.spec.capacity = {FLAGS_processor_millis, FLAGS_memory_mib,
                           FLAGS_accelerators};
  options.addresses = absl::StrSplit(FLAGS_addresses, ',', absl::SkipEmpty());
  options.attempt_log = FLAGS_attempt_log;
  options.poll_wait = bramleyrail::Milliseconds(FLAGS_poll_wait_ms);
  options.usage_lag = bramleyrail::Milliseconds(FLAGS_usage_lag_ms);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_name.empty() || FLAGS_addresses.empty() ||
      FLAGS_failure_domain.empty() || FLAGS_rack.empty()) {
    std::cerr << "stand_in_worker: --name, --addresses, --failure_domain and "
                 "--rack are required\n";
    return 2;
  }
  // Blocked before the threads start, so that only sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  bramleyrail::StandInWorker worker(OptionsFromFlags());
  worker.Start();
  int signal = 0;
  sigwait(&signals, &signal);
  worker.Stop();
  return 0;
}
