// Runs a StandInTarget as a program, for tests and the quickstart.

#include <gflags/gflags.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "packages/target/fakes/stand_in_target.h"

DEFINE_string(name, "target-1", "Name of the target");
DEFINE_string(service, "echo", "Service that the target runs");
DEFINE_string(failure_domain,
              "",
              "Failure domain; empty: that of the instance");
DEFINE_string(instances,
              "",
              "Addresses at which instances serve targets: "
              "host:port,host:port");
DEFINE_string(address, "127.0.0.1", "Address to listen on and to announce");
DEFINE_int32(port, 0, "Port to listen on; 0: any free port");
DEFINE_int64(slots, 8, "Maximum number of concurrent requests");
DEFINE_int64(connections,
             64,
             "Maximum number of concurrent requests and watches");
DEFINE_string(execution_file,
              "",
              "File to which the request id of each execution is appended");
DEFINE_int64(event_interval_ms,
             1000,
             "Interval of watch events in milliseconds");

namespace {

bool ParseInstances(
    std::vector<bramleyrail::StandInTarget::InstanceAddress>* instances) {
  for (const std::string& text :
       std::vector<std::string>(absl::StrSplit(FLAGS_instances, ','))) {
    const size_t colon = text.rfind(':');
    int port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port)) {
      return false;
    }
    instances->push_back({text.substr(0, colon), port});
  }
  return !instances->empty();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bramleyrail::StandInTarget::Options options;
  options.name = FLAGS_name;
  options.service = FLAGS_service;
  options.failure_domain = FLAGS_failure_domain;
  options.address = FLAGS_address;
  options.port = FLAGS_port;
  options.slots = FLAGS_slots;
  options.connections = FLAGS_connections;
  options.execution_file = FLAGS_execution_file;
  options.event_interval = bramleyrail::Milliseconds(FLAGS_event_interval_ms);
  if (!ParseInstances(&options.instances)) {
    std::fprintf(stderr, "--instances must be host:port,host:port,...\n");
    return 2;
  }
  // Blocked in all threads, so that only sigwait() receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  bramleyrail::StandInTarget target(options);
  const bramleyrail::Result<void> started = target.Start();
  if (!started.has_value()) {
    std::fprintf(stderr, "%s\n", started.error().ToString().c_str());
    return 1;
  }
  std::printf("listening on %s:%d\n", FLAGS_address.c_str(), target.port());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  target.Stop();
  return 0;
}
