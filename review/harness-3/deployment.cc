#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kCoreCount = 3;
constexpr int kFrontCount = 2;
constexpr int kFirstExecutor = 101;
constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kControlPort = 8166;
constexpr int64_t kCoreMemoryMb = 256;
constexpr int64_t kFrontMemoryMb = 260;
constexpr int64_t kRestartDelayMs = 500;
constexpr char kHost[] = "plans.example";
constexpr char kService[] = "desk";
const char* const kZones[] = {"zone-a", "zone-b", "zone-c"};

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    throw std::runtime_error("cannot read " + file);
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Fills the placeholders {{a.b}} and {{a.b|json}}, all that the template of
// this project has.
std::string Render(const std::string& text, const Json& fields) {
  std::string result;
  size_t position = 0;
  while (true) {
    const size_t open = text.find("{{", position);
    if (open == std::string::npos) {
      return result + text.substr(position);
    }
    const size_t close = text.find("}}", open);
    result += text.substr(position, open - position);
    std::string name = text.substr(open + 2, close - open - 2);
    position = close + 2;
    const size_t bar = name.find('|');
    const bool as_json = bar != std::string::npos;
    name = name.substr(0, bar);
    const Json* value = &fields;
    std::stringstream parts(name);
    for (std::string part;
         value != nullptr && std::getline(parts, part, '.');) {
      if (value->is_array()) {
        value = &value->at(std::stoul(part));
      } else {
        value = value->contains(part) ? &value->at(part) : nullptr;
      }
    }
    if (value == nullptr) {
      result += as_json ? "null" : "";
    } else if (as_json || !value->is_string()) {
      result += value->dump();
    } else {
      result += value->get<std::string>();
    }
  }
}

// Resident memory that is not backed by a file.
int64_t MemoryMb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) {
      return std::atoll(line.c_str() + 8) / 1'024;
    }
  }
  return 0;
}

}  // namespace

std::string NewJobId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Machine::Machine(std::string name,
                 std::string program,
                 std::string settings_file,
                 std::string log_file,
                 int64_t memory_mb,
                 Record* record)
    : name_(std::move(name)),
      program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file)),
      memory_mb_(memory_mb),
      record_(record) {
  Spawn();
  thread_ = std::thread([this] { Supervise(); });
}

Machine::~Machine() {
  quit_ = true;
  thread_.join();
}

void Machine::Signal(int number) {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

void Machine::Spawn() {
  const std::string argument = "--settings=" + settings_file_;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    // The process does not outlive the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int log =
        open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execl(program_.c_str(), program_.c_str(), argument.c_str(), nullptr);
    _exit(127);
  }
  pid_ = pid;
  record_->Write(name_ + " starts");
}

void Machine::Supervise() {
  while (!quit_) {
    SleepMs(50);
    const int64_t used = MemoryMb(pid_);
    peak_mb_ = std::max(peak_mb_.load(), used);
    if (used > memory_mb_) {
      record_->Write(name_ + " uses " + std::to_string(used) + " MB of " +
                     std::to_string(memory_mb_) + " and is killed");
      ++kills_;
      kill(pid_, SIGKILL);
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
      continue;
    }
    pid_ = -1;
    ++ends_;
    record_->Write(name_ + " has ended, " +
                   (WIFSIGNALED(status)
                        ? "signal " + std::to_string(WTERMSIG(status))
                        : "exit " + std::to_string(WEXITSTATUS(status))));
    SleepMs(kRestartDelayMs);
    if (!quit_) {
      Spawn();
    }
  }
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

Deployment::Deployment(const std::string& repository,
                       int executors,
                       Record* record,
                       const ChangeSettings& change)
    : repository_(repository), record_(record) {
  char folder[] = "/tmp/review-3-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = folder;
  // Addresses of this process, so that cases may run at the same time.
  network_ = "127." + std::to_string(64 + getpid() % 128) + "." +
             std::to_string(getpid() / 128 % 250) + ".";
  for (int number = 0; number < executors; ++number) {
    ExecutorSettings settings;
    settings.ip = Ip(kFirstExecutor + number);
    settings.zone = kZones[number % 3];
    settings.service = kService;
    settings.rack = "r1-" + std::to_string(number / 8);
    for (int node = 0; node < kCoreCount; ++node) {
      settings.control_ips.push_back(Ip(1 + node));
    }
    settings.control_port = kControlPort;
    if (change) {
      change(number, &settings);
    }
    executors_.push_back(std::make_unique<Executor>(settings, record));
  }
}

Deployment::~Deployment() {
  executors_.clear();
  front_.clear();
  core_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::string Deployment::Ip(int number) const {
  return network_ + std::to_string(number);
}

std::string Deployment::WriteSettings(const std::string& name,
                                      const std::string& ip,
                                      const std::string& zone,
                                      bool core) {
  const auto address = [&](bool used, int port) {
    return used ? Json(ip + ":" + std::to_string(port)) : Json();
  };
  Json listen = Json::object();
  if (core) {
    listen["control"] = address(true, kControlPort);
  } else {
    listen["frontend"] = address(true, kFrontPort);
    listen["ready"] = address(true, kReadyPort);
  }
  Json seeds = Json::array();
  for (int node = 0; node < kCoreCount; ++node) {
    seeds.push_back(Ip(1 + node) + ":" + std::to_string(kControlPort));
  }
  Json fields = {
      {"role", core ? "control" : "gateway"},
      {"node_name", name},
      {"ip", ip},
      {"zone", zone},
      {"region", "region-a"},
      {"zones", Json::object()},
      {"listen_addrs", listen},
      {"internal_ports", {7720, 7735}},
      {"seeds", seeds},
      {"data_dir", core ? folder_ + "/" + name + ".data" : ""},
      {"bootstrap", true},
      {"bounds", {{"hold_max_ms", 6'000}, {"grace_s", 6}, {"status_s", 120}}},
      {"fault_tolerance", {{"machines", 1}}},
      {"limits",
       {{"max_fds", 4'096},
        {"memory_mb", core ? kCoreMemoryMb : kFrontMemoryMb}}}};
  for (const char* known : kZones) {
    fields["zones"][known] = "region-a";
  }
  if (core) {
    std::filesystem::create_directories(folder_ + "/" + name + ".data");
  }
  const std::string file = folder_ + "/" + name + ".conf";
  std::ofstream(file) << Render(
      ReadFile(repository_ + "/deploy/settings.json.template"), fields);
  return file;
}

bool Deployment::Start() {
  const std::string program = repository_ + "/target/bin/bramleyraild";
  if (access(program.c_str(), X_OK) != 0) {
    throw std::runtime_error("the program is not built");
  }
  const auto add = [&](const std::string& name, int number, int zone,
                       bool core) {
    const std::string file =
        WriteSettings(name, Ip(number), kZones[zone], core);
    (core ? core_ : front_)
        .push_back(std::make_unique<Machine>(
            name, program, file, folder_ + "/" + name + ".log",
            core ? kCoreMemoryMb : kFrontMemoryMb, record_));
  };
  for (int node = 0; node < kCoreCount; ++node) {
    add("core-" + std::to_string(node + 1), 1 + node, node, true);
  }
  for (int node = 0; node < kFrontCount; ++node) {
    add("front-" + std::to_string(node + 1), 11 + node, node, false);
  }
  for (const auto& executor : executors_) {
    executor->Start();
  }
  const Json configuration = {{"version", 1},
                              {"routes",
                               {{{"name", "r-plans"},
                                 {"host", kHost},
                                 {"path_prefix", kPrefix},
                                 {"kind", "unsafe"},
                                 {"timeout_ms", 3'000},
                                 {"target_latency_ms", 1'000},
                                 {"priority", 0},
                                 {"service", kService},
                                 {"max_attempts", 2},
                                 {"stretch_factor", 2.0},
                                 {"allowed_regions", Json::array()}}}},
                              {"services",
                               {{{"name", kService},
                                 {"health_path", "/health"},
                                 {"max_conns", 64},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"cold_start_s", 0.0},
                                 {"cold_per_s", 0.0},
                                 {"admission_check", true},
                                 {"standby", false}}}},
                              {"limits",
                               {{"max_header_bytes", 16'384},
                                {"max_body_bytes", 262'144},
                                {"header_timeout_ms", 3'000},
                                {"idle_timeout_ms", 15'000}}}};
  for (int tries = 0; tries < 100; ++tries) {
    if (CallControl(static_cast<size_t>(tries), "PUT", "/config",
                    configuration.dump())
            .status == 200) {
      record_->Write("the configuration is acknowledged");
      SleepMs(4'000);
      return true;
    }
    SleepMs(200);
  }
  return false;
}

Response Deployment::CallControl(size_t node,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body) {
  return Call(Ip(1 + static_cast<int>(node % kCoreCount)), kControlPort, method,
              target, body, 1'000);
}

Response Deployment::CallFront(size_t node,
                               const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               int timeout_ms) {
  return Call(Ip(11 + static_cast<int>(node % kFrontCount)), kFrontPort, method,
              target, body, timeout_ms,
              {{"Host", kHost}, {"X-Deadline-Ms", std::to_string(timeout_ms)}});
}

int Deployment::Submit(const std::string& id,
                       const std::string& body,
                       int attempts) {
  int status = 0;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    status = CallFront(next_node_++, "POST", kPrefix + id, body).status;
    record_->Write("POST " + id + " -> " +
                   (status == 0 ? "no response" : std::to_string(status)));
    if (status != 0 && status != 502 && status != 504) {
      break;
    }
    SleepMs(200);
  }
  return status;
}

std::string Deployment::StateOf(const std::string& id) {
  const Response response = CallFront(next_node_++, "GET", kPrefix + id, "");
  const Json json = Json::parse(response.body, nullptr, false);
  const std::string state =
      response.status == 200 && json.is_object() ? json.value("state", "") : "";
  record_->Write("GET " + id + " -> " + std::to_string(response.status) + " " +
                 state);
  return state;
}

}  // namespace review
