// A stand-in for one executor of the platform, as PROTOCOL.md describes it: it
// registers by heartbeats, runs tasks under a lease, keeps the highest fence,
// and lists running and ended runs. Every start, end, stop and acknowledgement
// is appended to a record.
//
//   executor --id=ID --address=IP:PORT --service=NAME --zone=NAME --rack=NAME
//            --cpu=N --mem=N --control=IP:PORT,IP:PORT,... --record=FILE
//            [--heartbeat_ms=N] [--hold_max_ms=N] [--listen=IP:PORT]
//            [--kind=NAME]
//
// Behind a proxy, it listens at another address than the one it names.
//
// A task works for the milliseconds that its spec names as "work_ms=N"; with 0
// it runs until it is stopped. With "answer_ms=N" the start is answered that
// much later. A stop signal ends the process at once.

#include <httplib.h>
#include <signal.h>
#include <unistd.h>

#include <fcntl.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Json = nlohmann::json;

struct Options {
  std::string id;
  std::string address;
  std::string listen;  // Empty: at the address.
  std::string service;
  std::string zone;
  std::string rack;
  std::string kind = "a";
  int64_t cpu = 16000;
  int64_t mem = 32768;
  std::vector<std::string> control;
  std::string record;
  int64_t heartbeat_ms = 1500;
  int64_t hold_max_ms = 6000;
};

struct Run {
  std::string task;
  int64_t run = 0;
  int64_t started_ms = 0;
  int64_t work_ms = 0;  // 0: until it is stopped.
  bool listed = false;
};

struct End {
  int64_t number = 0;
  std::string task;
  int64_t run = 0;
  std::string how;
};

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Executor {
 public:
  explicit Executor(Options options)
      : options_(std::move(options)), born_(UnixMs()) {
    record_ =
        open(options_.record.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }

  int64_t born() const { return born_; }

  void Record(const std::string& text) {
    std::ostringstream line;
    line << UnixMs() << " executor " << options_.id << " " << text << "\n";
    const std::string bytes = line.str();
    (void)!write(record_, bytes.data(), bytes.size());
  }

  Json Heartbeat() {
    std::lock_guard<std::mutex> lock(mutex_);
    return {{"service", options_.service},
            {"address", options_.address},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity",
             {{"cpu", options_.cpu}, {"mem_mb", options_.mem}, {"gpu", 0}}},
            {"labels", {options_.kind, options_.rack}},
            {"born", born_},
            {"clock_ms", ClockMs()},
            {"seq", ++sequence_}};
  }

  void HandleStart(const Json& body, httplib::Response* response) {
    std::unique_lock<std::mutex> lock(mutex_);
    Advance();
    const std::string task = body.at("task");
    const int64_t run = body.at("run");
    if (!TakeFence(body)) {
      return Refuse("fence", response);
    }
    if (const Run* found = Find(task); found != nullptr && found->run == run) {
      ExtendLease(body);
      return Accept(response);
    }
    if (const auto ended = highest_ended_.find(task);
        ended != highest_ended_.end() && run <= ended->second) {
      ExtendLease(body);
      return Refuse("old", response);
    }
    if (body.at("until_ms").get<int64_t>() <= ClockMs()) {
      return Refuse("late", response);
    }
    ExtendLease(body);
    const std::string spec = body.at("spec");
    Run added{task, run, ClockMs(), NumberOf(spec, "work_ms=", 1000)};
    running_.push_back(added);
    Record("start " + task + " run " + std::to_string(run) + " fence " +
           std::to_string(fence_));
    Accept(response);
    lock.unlock();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(NumberOf(spec, "answer_ms=", 0)));
  }

  void HandleStop(const Json& body, httplib::Response* response) {
    std::lock_guard<std::mutex> lock(mutex_);
    Advance();
    const std::string task = body.at("task");
    const int64_t run = body.at("run");
    if (!TakeFence(body)) {
      return Refuse("fence", response);
    }
    int64_t& highest = highest_ended_[task];
    highest = std::max(highest, run);
    const auto found = std::find_if(
        running_.begin(), running_.end(),
        [&](const Run& item) { return item.task == task && item.run == run; });
    if (found != running_.end()) {
      EndRun(*found, "stopped");
      running_.erase(found);
    }
    Accept(response);
  }

  void HandlePace(const Json& body, httplib::Response* response) {
    std::lock_guard<std::mutex> lock(mutex_);
    Advance();
    TakeFence(body) ? Accept(response) : Refuse("fence", response);
  }

  void HandleHold(const Json& body, httplib::Response* response) {
    std::unique_lock<std::mutex> lock(mutex_);
    Advance();
    if (!TakeFence(body)) {
      return Refuse("fence", response);
    }
    ExtendLease(body);
    const int64_t last_seen = body.value("last_seen", int64_t{0});
    for (const End& end : ends_) {
      if (end.number <= last_seen) {
        Record("noted " + end.task + " run " + std::to_string(end.run) + " " +
               end.how);
      }
    }
    std::erase_if(ends_,
                  [&](const End& end) { return end.number <= last_seen; });
    forgotten_through_ = std::max(forgotten_through_, last_seen);
    const auto limit = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(std::clamp<int64_t>(
                           body.value("wait_ms", int64_t{0}), 0, 2000));
    while (!HasEndToList() && std::chrono::steady_clock::now() < limit) {
      changed_.wait_for(lock, std::chrono::milliseconds(20));
      Advance();
    }
    Json running = Json::array();
    for (Run& run : running_) {
      if (!run.listed) {
        run.listed = true;
        Record("listed " + run.task + " run " + std::to_string(run.run));
      }
      const int64_t percent =
          run.work_ms == 0
              ? 100
              : std::min<int64_t>(
                    99, (ClockMs() - run.started_ms) * 100 / run.work_ms);
      running.push_back({run.task, run.run, "", percent, 0});
    }
    Json ended = Json::array();
    for (const End& end : ends_) {
      if (end.number > forgotten_through_ && ended.size() < 500) {
        ended.push_back({end.number, end.task, end.run, end.how, ""});
      }
    }
    response->set_content(Json{{"born", born_},
                               {"clock_ms", ClockMs()},
                               {"running", running},
                               {"ended", ended}}
                              .dump(),
                          "application/json");
  }

  // Ends what is due: finished work, and everything when the lease expires.
  void Tick() {
    std::lock_guard<std::mutex> lock(mutex_);
    Advance();
  }

 private:
  int64_t ClockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - started_)
               .count() +
           1000;
  }

  static int64_t NumberOf(const std::string& spec,
                          const std::string& name,
                          int64_t missing) {
    const size_t position = spec.find(name);
    return position == std::string::npos
               ? missing
               : std::stoll(spec.substr(position + name.size()));
  }

  bool HasEndToList() const {
    return !ends_.empty() && ends_.back().number > forgotten_through_;
  }

  const Run* Find(const std::string& task) const {
    for (const Run& run : running_) {
      if (run.task == task) {
        return &run;
      }
    }
    return nullptr;
  }

  bool TakeFence(const Json& body) {
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) {
      return false;
    }
    fence_ = fence;
    return true;
  }

  void ExtendLease(const Json& body) {
    if (body.contains("until_ms")) {
      lease_until_ms_ =
          std::max(lease_until_ms_, std::min(body.at("until_ms").get<int64_t>(),
                                             ClockMs() + options_.hold_max_ms));
    }
  }

  void EndRun(const Run& run, const std::string& how) {
    ends_.push_back({++last_number_, run.task, run.run, how});
    int64_t& highest = highest_ended_[run.task];
    highest = std::max(highest, run.run);
    Record("end " + run.task + " run " + std::to_string(run.run) + " " + how);
    changed_.notify_all();
  }

  void Advance() {
    const bool lapsed = ClockMs() > lease_until_ms_;
    if (lapsed && !lapsed_) {
      Record("lapse of the lease");
    }
    lapsed_ = lapsed;
    std::erase_if(running_, [&](const Run& run) {
      const bool done =
          run.work_ms > 0 && ClockMs() - run.started_ms >= run.work_ms;
      if (lapsed || done) {
        EndRun(run, lapsed ? "lapsed" : "done");
      }
      return lapsed || done;
    });
  }

  void Accept(httplib::Response* response) {
    response->set_content(Json{{"clock_ms", ClockMs()}}.dump(),
                          "application/json");
  }

  void Refuse(const char* reason, httplib::Response* response) {
    response->status = 409;
    response->set_content(
        Json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump(),
        "application/json");
  }

  const Options options_;
  const int64_t born_;
  const std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
  int record_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t sequence_ = 0;
  int64_t fence_ = 0;
  int64_t lease_until_ms_ = 0;
  bool lapsed_ = true;
  int64_t last_number_ = 0;
  // Ends up to the highest last_seen are forgotten. They stay in the list until
  // a later call reaches them, which the record notes.
  int64_t forgotten_through_ = 0;
  std::vector<Run> running_;
  std::vector<End> ends_;
  std::map<std::string, int64_t> highest_ended_;
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

void SendHeartbeats(Executor* executor, const Options& options) {
  size_t node = 0;
  while (true) {
    const std::string body = executor->Heartbeat().dump();
    for (size_t attempt = 0; attempt < options.control.size(); ++attempt) {
      const auto address =
          Split(options.control[node % options.control.size()], ':');
      httplib::Client client(address[0], std::stoi(address[1]));
      client.set_connection_timeout(1);
      client.set_read_timeout(1);
      const auto result =
          client.Put("/instances/" + options.id, body, "application/json");
      if (result && result->status / 100 == 2) {
        break;
      }
      ++node;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(options.heartbeat_ms));
  }
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const size_t equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    const std::string value = argument.substr(equals + 1);
    if (name == "--id")
      options.id = value;
    if (name == "--address")
      options.address = value;
    if (name == "--listen")
      options.listen = value;
    if (name == "--service")
      options.service = value;
    if (name == "--zone")
      options.zone = value;
    if (name == "--rack")
      options.rack = value;
    if (name == "--kind")
      options.kind = value;
    if (name == "--cpu")
      options.cpu = std::stoll(value);
    if (name == "--mem")
      options.mem = std::stoll(value);
    if (name == "--control")
      options.control = Split(value, ',');
    if (name == "--record")
      options.record = value;
    if (name == "--heartbeat_ms")
      options.heartbeat_ms = std::stoll(value);
    if (name == "--hold_max_ms")
      options.hold_max_ms = std::stoll(value);
  }
  Executor executor(options);
  httplib::Server server;
  using Handler = void (Executor::*)(const Json&, httplib::Response*);
  const auto bind = [&](const char* path, Handler handler) {
    server.Post(
        path, [&executor, &options, handler](const httplib::Request& request,
                                             httplib::Response& response) {
          if (request.has_header("X-Expect-Instance") &&
              request.get_header_value("X-Expect-Instance") != options.id) {
            response.status = 421;
            return;
          }
          const Json body = Json::parse(request.body, nullptr, false);
          try {
            (executor.*handler)(body, &response);
          } catch (const Json::exception&) {
            response.status = 400;
          }
        });
  };
  bind("/run-start", &Executor::HandleStart);
  bind("/run-stop", &Executor::HandleStop);
  bind("/hold", &Executor::HandleHold);
  bind("/pace", &Executor::HandlePace);
  server.Get("/health", [](const httplib::Request&, httplib::Response&) {});
  server.new_task_queue = [] { return new httplib::ThreadPool(24); };
  server.set_keep_alive_max_count(1000000);
  server.set_keep_alive_timeout(60);
  server.set_tcp_nodelay(true);
  std::thread ticks([&executor] {
    while (true) {
      executor.Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
  executor.Record("up born " + std::to_string(executor.born()));
  std::thread heartbeats(
      [&executor, &options] { SendHeartbeats(&executor, options); });
  const auto address =
      Split(options.listen.empty() ? options.address : options.listen, ':');
  server.listen(address[0].c_str(), std::stoi(address[1]));
  std::fprintf(stderr, "executor %s: cannot listen\n", options.id.c_str());
  _exit(1);
}
