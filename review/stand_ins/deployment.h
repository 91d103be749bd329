#ifndef REVIEW_STAND_INS_DEPLOYMENT_H_
#define REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"
#include "record.h"

namespace review {

// A small deployment on loopback: three machines of the core and two of the
// front in three zones, each with an address of its own, started with the
// commands and the settings template of the deploy file. The bounds are those
// of kuoritalo-ops.
class Deployment {
 public:
  static constexpr size_t kControls = 3;
  static constexpr size_t kGateways = 2;

  // `root` is the repository.
  Deployment(std::filesystem::path root, Record* record);
  // Ends every process that is left.
  ~Deployment();

  // Starts all processes and stores the first configuration; false when the
  // deployment did not become ready.
  bool Start();

  void SignalControl(size_t control, int signal);
  // Starts a machine of the core again after its process was killed.
  void RestartControl(size_t control);
  // Starts a machine of the core with an empty disk at a new address, and then
  // ends the process of the other one for good. Writes the new seeds into the
  // settings files of all machines, without a signal.
  void ReplaceControl(size_t control, Milliseconds overlap);
  // Resident memory of the process; 0 when there is none.
  int64_t ControlMemoryMb(size_t control) const;
  // The machine of the core that leads, by its metrics.
  std::optional<size_t> FindLeader() const;
  std::optional<size_t> WaitForLeader(Milliseconds limit) const;

  const std::string& zone(size_t number) const { return zones_[number % 3]; }
  // Addresses of the machines that serve control.
  std::vector<std::string> ControlAddresses() const;
  std::string control_address(size_t control) const;
  std::string service() const { return "svc-a"; }
  // An address for the executor of this number, and the port of executors.
  std::string ExecutorIp(size_t number) const;
  int executor_port() const { return executor_port_; }

  // Operator: one call, to this machine. Waits a second.
  HttpResponse Operate(size_t control,
                       const std::string& method,
                       const std::string& target,
                       const std::string& body);
  // Client: one call through a gateway on the queue "q" (at most two attempts).
  HttpResponse AskClient(size_t gateway,
                         const std::string& method,
                         const std::string& id,
                         const std::string& body);
  // Submits until it is accepted.
  bool Submit(const std::string& id, const std::string& body);
  // `state` of the job, or the status of the response.
  std::string ReadState(const std::string& id);

 private:
  struct Process {
    std::string role;
    std::string ip;
    std::string zone;
    std::string settings = "";
    pid_t id = 0;
  };

  std::string Render(const Process& process, bool first_start) const;
  void WriteSettings(Process* process, bool first_start) const;
  void Launch(Process* process, bool first_start);
  std::string Configuration(int64_t version) const;

  const std::filesystem::path root_;
  Record* const record_;
  std::filesystem::path folder_;
  std::string network_;
  const std::vector<std::string> zones_ = {"zone-a", "zone-b", "zone-c"};
  std::vector<Process> controls_;
  std::vector<Process> gateways_;
  int control_port_ = 0;
  int front_port_ = 0;
  int ready_port_ = 0;
  int peer_port_ = 0;
  int executor_port_ = 0;
  int replacements_ = 0;
};

// Value of an environment variable, or the default.
std::string Environment(const char* name, const std::string& otherwise);

}  // namespace review

#endif  // REVIEW_STAND_INS_DEPLOYMENT_H_
