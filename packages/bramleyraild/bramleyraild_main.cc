#include <gflags/gflags.h>
#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <cerrno>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"
#include "packages/bramleyraild/bramleyraild_events.h"
#include "packages/bramleyraild/instance.h"
#include "packages/bramleyraild/role_instance.h"
#include "platform/platform.h"

DEFINE_string(settings, "", "settings file in JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace bramleyrail {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int Report(const Error& error, int exit_code) {
  std::fprintf(stderr, "bramleyraild: %s\n", error.ToString().c_str());
  return exit_code;
}

// Blocks the stop signals in every thread started later, so that only
// WaitForStopSignal receives them.
sigset_t BlockStopSignals() {
  signal(SIGPIPE, SIG_IGN);
  // A write beyond the limit of the file size fails like one to a full disk.
  signal(SIGXFSZ, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForStopSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

PlatformHooks HooksOfPlatform() {
  return {platform::MakeCallerHandler, platform::MakeControlHandler,
          platform::MayBeReplaced,     platform::MakeWorkerCaller,
          platform::CallerTimeout,     platform::MakeReadyHandler};
}

// Waits for a stop signal; SIGHUP says that the settings file has changed. It
// may also change without a signal, so the instance may ask for it.
void ServeRole(RoleInstance* instance, const sigset_t& signals) {
  constexpr timespec kPollInterval{.tv_sec = 1, .tv_nsec = 0};
  std::string last_error;
  while (true) {
    const int received = sigtimedwait(&signals, nullptr, &kPollInterval);
    const bool timed_out = received < 0 && (errno == EAGAIN || errno == EINTR);
    if (!timed_out && received != SIGHUP) {
      return;
    }
    if (timed_out && !instance->NeedsSettings()) {
      continue;
    }
    const auto settings = LoadRoleSettings(FLAGS_settings);
    const std::string error =
        settings ? std::string() : settings.error().ToString();
    // Without a signal, the file is read every few seconds during an outage.
    if (received == SIGHUP || error != last_error) {
      LogEvent(kSettingsReloaded,
               {{"accepted", settings.has_value()}, {"error", error}});
    }
    last_error = error;
    if (settings) {
      instance->Reload(settings.value());
    }
  }
}

int RunRole() {
  auto settings = LoadRoleSettings(FLAGS_settings);
  if (!settings) {
    return Report(settings.error(), kExitUsage);
  }
  if (FLAGS_check_settings) {
    std::printf("%s: valid\n", FLAGS_settings.c_str());
    return 0;
  }
  sigset_t signals = BlockStopSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  if (auto logging = StartLogging(settings.value().log); !logging) {
    return Report(logging.error(), kExitFailure);
  }
  const bool control = settings.value().role == InstanceRole::kControl;
  LogEvent(kInstanceStarting,
           {{"instance", settings.value().instance},
            {"failure_domain", settings.value().failure_domain},
            {"region", settings.value().region},
            {"role", std::string_view(control ? "control" : "gateway")},
            {"data_folder", settings.value().data_folder}});
  auto instance = control ? StartControlInstance(std::move(settings).value(),
                                                 HooksOfPlatform())
                          : StartGatewayInstance(std::move(settings).value(),
                                                 HooksOfPlatform());
  if (!instance) {
    return Report(instance.error(), kExitFailure);
  }
  ServeRole(instance.value().get(), signals);
  LogEvent(kInstanceStopping, {});
  const bool clean = instance.value()->Stop();
  LogEvent(kInstanceStopped, {{"clean", clean}});
  instance.value().reset();
  StopLogging();
  return 0;
}

int Run() {
  auto settings = LoadSettings(FLAGS_settings);
  if (!settings) {
    return Report(settings.error(), kExitUsage);
  }
  if (FLAGS_check_settings) {
    std::printf("%s: valid\n", FLAGS_settings.c_str());
    return 0;
  }
  const sigset_t signals = BlockStopSignals();
  if (auto logging = StartLogging(settings.value().log); !logging) {
    return Report(logging.error(), kExitFailure);
  }
  auto instance = Instance::Create(std::move(settings).value());
  if (!instance) {
    return Report(instance.error(), kExitFailure);
  }
  if (auto started = instance.value()->Start(); !started) {
    return Report(started.error(), kExitFailure);
  }
  WaitForStopSignal(signals);
  const bool clean = instance.value()->Stop();
  StopLogging();
  return clean ? 0 : kExitFailure;
}

}  // namespace
}  // namespace bramleyrail

int main(int argc, char** argv) {
  // Debian builds Abseil with this debugging aid, which follows every lock.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  gflags::SetUsageMessage(
      "entry instance of bramleyrail\n"
      "  bramleyraild --settings=FILE [--check_settings]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::fprintf(stderr,
                 "bramleyraild: --settings=FILE is required; "
                 "docs/settings.md describes the file\n");
    return bramleyrail::kExitUsage;
  }
  const auto text = bramleyrail::ReadSettingsFile(FLAGS_settings);
  const bool is_entry = !text || bramleyrail::RoleOf(text.value()) ==
                                     bramleyrail::InstanceRole::kEntry;
  return is_entry ? bramleyrail::Run() : bramleyrail::RunRole();
}
