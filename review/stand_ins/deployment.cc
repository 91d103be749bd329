#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kOperatorTimeout{1'000};
constexpr Milliseconds kClientTimeout{3'000};
constexpr const char* kHost = "plans.example";
constexpr const char* kPrefix = "/plans/";

void Replace(const std::string& name,
             const std::string& value,
             std::string* text) {
  for (size_t at = 0; (at = text->find(name, at)) != std::string::npos;) {
    text->replace(at, name.size(), value);
    at += value.size();
  }
}

}  // namespace

std::string Environment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

Deployment::Deployment(std::filesystem::path root, Record* record)
    : root_(std::move(root)), record_(record) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  network_ = "127." + std::to_string(64 + getpid() % 128) + "." +
             std::to_string(getpid() / 128 % 250) + ".";
  std::vector<std::string> ips;
  for (size_t i = 0; i < kControls; ++i) {
    controls_.push_back({"control", network_ + std::to_string(i + 1), zone(i)});
    ips.push_back(controls_.back().ip);
  }
  for (size_t i = 0; i < kGateways; ++i) {
    gateways_.push_back(
        {"gateway", network_ + std::to_string(i + 11), zone(i)});
    ips.push_back(gateways_.back().ip);
  }
  control_port_ = FreePort(ips);
  front_port_ = control_port_ + 1;
  ready_port_ = control_port_ + 2;
  peer_port_ = control_port_ + 3;
  executor_port_ = control_port_ + 4;
}

Deployment::~Deployment() {
  for (std::vector<Process>* processes : {&controls_, &gateways_}) {
    for (Process& process : *processes) {
      if (process.id != 0) {
        kill(process.id, SIGKILL);
        waitpid(process.id, nullptr, 0);
      }
    }
  }
  if (Environment("KEEP_LOGS", "").empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  } else {
    record_->Write("logs in " + folder_.string());
  }
}

std::string Deployment::Render(const Process& process, bool first_start) const {
  std::ifstream stream(root_ / "deploy" / "settings.json.template");
  std::stringstream buffer;
  buffer << stream.rdbuf();
  std::string text = buffer.str();
  const bool control = process.role == "control";
  const auto at = [&process](int port) {
    return process.ip + ":" + std::to_string(port);
  };
  Json seeds = ControlAddresses();
  Json regions;
  for (const std::string& name : zones_) {
    regions[name] = "region-a";
  }
  Replace("{{role|json}}", Json(process.role).dump(), &text);
  Replace("{{node_name|json}}", Json(process.role + "-" + process.zone).dump(),
          &text);
  Replace("{{ip|json}}", Json(process.ip).dump(), &text);
  Replace("{{zone|json}}", Json(process.zone).dump(), &text);
  Replace("{{region|json}}", Json("region-a").dump(), &text);
  Replace("{{zones|json}}", regions.dump(), &text);
  Replace("{{listen_addrs.control}}", control ? at(control_port_) : "", &text);
  Replace("{{listen_addrs.frontend}}", control ? "" : at(front_port_), &text);
  Replace("{{listen_addrs.ready}}", control ? "" : at(ready_port_), &text);
  Replace("{{internal_ports.0}}", std::to_string(peer_port_), &text);
  Replace("{{seeds|json}}", seeds.dump(), &text);
  Replace("{{data_dir}}",
          control ? (folder_ / ("data-" + process.ip)).string() : "", &text);
  Replace("{{bootstrap|json}}", first_start ? "true" : "false", &text);
  Replace("{{bounds.hold_max_ms}}", "6000", &text);
  Replace("{{bounds.grace_s}}", "6", &text);
  Replace("{{bounds.status_s}}", "120", &text);
  Replace("{{fault_tolerance.machines}}", "1", &text);
  Replace("{{limits.max_fds}}", control ? "4096" : "4100", &text);
  return text;
}

void Deployment::WriteSettings(Process* process, bool first_start) const {
  process->settings =
      (folder_ / (process->role + "-" + process->ip + ".json")).string();
  std::ofstream(process->settings) << Render(*process, first_start);
}

void Deployment::Launch(Process* process, bool first_start) {
  const std::string name = process->role + "-" + process->zone;
  WriteSettings(process, first_start);
  std::filesystem::create_directories(folder_ / ("data-" + process->ip));
  const std::string log = (folder_ / (name + ".log")).string();
  const std::string program =
      (root_ / "target" / "bin" / "bramleyraild").string();
  const std::string settings = "--settings=" + process->settings;
  record_->Write("process " + name + " starts at " + process->ip);
  process->id = fork();
  if (process->id != 0) {
    return;
  }
  // Ends with the case, even when the case is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, 1);
  dup2(output, 2);
  if (chdir(root_.c_str()) == 0) {
    execl(program.c_str(), program.c_str(), settings.c_str(), nullptr);
  }
  _exit(127);
}

std::string Deployment::Configuration(int64_t version) const {
  const Json route{{"name", "q"},
                   {"host", kHost},
                   {"path_prefix", kPrefix},
                   {"kind", "unsafe"},
                   {"timeout_ms", 3000},
                   {"target_latency_ms", 1000},
                   {"priority", 0},
                   {"service", service()},
                   {"max_attempts", 2},
                   {"stretch_factor", 2.0},
                   {"allowed_regions", Json::array()}};
  const Json pool{{"name", service()}, {"health_path", "/health"},
                  {"max_conns", 64},   {"protocol", "h1"},
                  {"tls", false},      {"cold_start_s", 0.0},
                  {"cold_per_s", 0.0}, {"admission_check", true},
                  {"standby", false}};
  return Json{{"version", version},
              {"routes", {route}},
              {"services", {pool}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

bool Deployment::Start() {
  if (!std::filesystem::exists(root_ / "target" / "bin" / "bramleyraild")) {
    record_->Write("target/bin/bramleyraild is missing");
    return false;
  }
  for (Process& process : controls_) {
    Launch(&process, true);
  }
  for (Process& process : gateways_) {
    Launch(&process, true);
  }
  const Clock::time_point limit = Clock::now() + std::chrono::seconds(20);
  size_t next = 0;
  while (
      Operate(next++ % kControls, "PUT", "/config", Configuration(1)).status !=
      200) {
    if (Clock::now() > limit) {
      return false;
    }
    SleepFor(Milliseconds(200));
  }
  for (const Process& process : gateways_) {
    while (Call(process.ip + ":" + std::to_string(ready_port_), "GET", "/ready",
                {}, "", kOperatorTimeout)
               .status != 200) {
      if (Clock::now() > limit) {
        return false;
      }
      SleepFor(Milliseconds(200));
    }
  }
  return true;
}

void Deployment::SignalControl(size_t control, int signal) {
  Process& process = controls_[control];
  record_->Write("signal  " + std::string(strsignal(signal)) + " to control-" +
                 process.zone);
  kill(process.id, signal);
  if (signal == SIGKILL) {
    waitpid(process.id, nullptr, 0);
    process.id = 0;
  }
}

void Deployment::RestartControl(size_t control) {
  Launch(&controls_[control], false);
}

void Deployment::ReplaceControl(size_t control, Milliseconds overlap) {
  const Process old = controls_[control];
  Process& added = controls_[control];
  added.id = 0;
  added.ip = network_ + std::to_string(kControls + 1 + replacements_++);
  Launch(&added, false);
  for (std::vector<Process>* processes : {&controls_, &gateways_}) {
    for (Process& process : *processes) {
      WriteSettings(&process, false);
    }
  }
  SleepFor(overlap);
  record_->Write("control-" + old.zone + " at " + old.ip + " gets SIGTERM");
  kill(old.id, SIGTERM);
  waitpid(old.id, nullptr, 0);
}

int64_t Deployment::ControlMemoryMb(size_t control) const {
  std::ifstream status("/proc/" + std::to_string(controls_[control].id) +
                       "/status");
  std::string line;
  while (controls_[control].id != 0 && std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stoll(line.substr(6)) / 1'024;
    }
  }
  return 0;
}

std::optional<size_t> Deployment::FindLeader() const {
  for (size_t i = 0; i < kControls; ++i) {
    const std::string text = Call(controls_[i].ip + ":9464", "GET", "/metrics",
                                  {}, "", Milliseconds(300))
                                 .body;
    if (("\n" + text).find("\nbramleyrail_leads 1") != std::string::npos) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<size_t> Deployment::WaitForLeader(Milliseconds limit) const {
  const Clock::time_point end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (const auto leader = FindLeader()) {
      return leader;
    }
    SleepFor(Milliseconds(50));
  }
  return std::nullopt;
}

std::string Deployment::control_address(size_t control) const {
  return controls_[control].ip + ":" + std::to_string(control_port_);
}

std::vector<std::string> Deployment::ControlAddresses() const {
  std::vector<std::string> addresses;
  for (size_t i = 0; i < kControls; ++i) {
    addresses.push_back(control_address(i));
  }
  return addresses;
}

std::string Deployment::ExecutorIp(size_t number) const {
  return network_ + std::to_string(20 + number);
}

HttpResponse Deployment::Operate(size_t control,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body) {
  const HttpResponse response = Call(control_address(control), method, target,
                                     {}, body, kOperatorTimeout);
  record_->Write("order   " + method + " " + target + " to control-" +
                 controls_[control].zone + ": " +
                 (response.status == 0 ? "no response (" + response.error + ")"
                                       : std::to_string(response.status)));
  return response;
}

HttpResponse Deployment::AskClient(size_t gateway,
                                   const std::string& method,
                                   const std::string& id,
                                   const std::string& body) {
  const HttpResponse response =
      Call(gateways_[gateway].ip + ":" + std::to_string(front_port_), method,
           kPrefix + id, {{"Host", kHost}, {"X-Deadline-Ms", "3000"}}, body,
           kClientTimeout);
  record_->Write("client  " + method + " " + id + ": " +
                 (response.status == 0
                      ? "no response (" + response.error + ")"
                      : std::to_string(response.status) + " " + response.body));
  return response;
}

bool Deployment::Submit(const std::string& id, const std::string& body) {
  for (size_t attempt = 0; attempt < 10; ++attempt) {
    const HttpResponse response =
        AskClient(attempt % kGateways, "POST", id, body);
    if (response.status == 200) {
      return true;
    }
    SleepFor(Milliseconds(200));
  }
  return false;
}

std::string Deployment::ReadState(const std::string& id) {
  std::string last = "no response";
  for (size_t attempt = 0; attempt < 5; ++attempt) {
    const HttpResponse response = AskClient(attempt % kGateways, "GET", id, "");
    if (response.status == 200) {
      return Json::parse(response.body).value("state", "");
    }
    last =
        response.status == 0 ? response.error : std::to_string(response.status);
    if (response.status == 410) {
      return last;
    }
    SleepFor(Milliseconds(200));
  }
  return last;
}

}  // namespace review
