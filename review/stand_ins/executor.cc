#include "executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kWorkInterval{5};
// An acknowledgement counts if it comes within this time.
constexpr Milliseconds kControlTimeout{1'000};

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void ExecutorOptions::SetControl(std::vector<std::string> addresses) {
  const std::lock_guard lock(mutex_);
  control_ = std::move(addresses);
}

std::vector<std::string> ExecutorOptions::Control() const {
  const std::lock_guard lock(mutex_);
  return control_;
}

size_t RunLog::Add(RunOfTask run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void RunLog::End(size_t number, double time, const std::string& how) {
  const std::lock_guard lock(mutex_);
  runs_[number].ended = time;
  runs_[number].how = how;
}

std::vector<RunOfTask> RunLog::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Executor::Executor(std::string id,
                   std::string zone,
                   std::string ip,
                   int port,
                   const ExecutorOptions* options,
                   RunLog* runs,
                   Record* record,
                   std::string kind)
    : id_(std::move(id)),
      zone_(std::move(zone)),
      ip_(std::move(ip)),
      port_(port),
      options_(options),
      runs_(runs),
      record_(record),
      kind_(std::move(kind)),
      born_ms_(UnixMilliseconds()),
      started_(Clock::now()) {}

Executor::~Executor() {
  End("gone");
  if (worker_.joinable()) {
    worker_.join();
  }
  if (heart_.joinable()) {
    heart_.join();
  }
  if (leaver_.joinable()) {
    leaver_.join();
  }
}

void Executor::Start() {
  up_ = true;
  server_ = std::make_unique<HttpServer>(
      ip_, port_,
      [this](const HttpRequest& request) { return Handle(request); });
  worker_ = std::thread([this] { Work(); });
  heart_ = std::thread([this] { SendHeartbeats(); });
}

void Executor::EndRuns(const std::string& how) {
  const std::lock_guard lock(mutex_);
  for (const auto& [task, run] : running_) {
    runs_->End(run.log_number, record_->Now(), how);
    record_->Write("run     " + id_ + " " + task + " run " +
                   std::to_string(run.run) + " ended: " + how);
  }
  running_.clear();
}

void Executor::End(const std::string& how) {
  if (up_.exchange(false)) {
    EndRuns(how);
    changed_.notify_all();
  }
  if (server_ != nullptr) {
    server_->Close();
  }
}

void Executor::Crash() {
  record_->Write("crash   " + id_ + " (" + zone_ + ")");
  End("gone");
}

void Executor::Leave(Milliseconds longer, Milliseconds unacknowledged) {
  leaver_ = std::thread([this, longer, unacknowledged] {
    {
      const std::lock_guard lock(mutex_);
      draining_ = true;
    }
    while (up_ && !SendHeartbeat()) {
      SleepFor(Milliseconds(100));
    }
    record_->Write("drain   " + id_ + " acknowledged");
    SleepFor(options_->drain_time + longer);
    const Clock::time_point end = Clock::now() + unacknowledged;
    Milliseconds pause{2'000};
    while (up_ && Clock::now() < end) {
      record_->Write("leave   " + id_ + " sends DELETE");
      const HttpResponse response = CallControl("DELETE", "");
      record_->Write("leave   " + id_ + " DELETE answered: " +
                     std::to_string(response.status) + " " + response.error);
      if (response.status / 100 == 2) {
        break;
      }
      SleepFor(std::min(pause, std::chrono::ceil<Milliseconds>(std::max(
                                   end - Clock::now(), Clock::duration(0)))));
      pause *= 2;
    }
    record_->Write("leave   " + id_ + " ends");
    End("gone");
  });
}

void Executor::LosePower() {
  record_->Write("power   " + id_ + " (" + zone_ + ") is lost");
  server_->Silence();
  up_ = false;
  EndRuns("gone");
  changed_.notify_all();
}

size_t Executor::CountRunning() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

bool Executor::IsRunning(const std::string& job) const {
  const std::lock_guard lock(mutex_);
  return std::any_of(running_.begin(), running_.end(), [&](const auto& item) {
    return JobOf(item.first) == job;
  });
}

int64_t Executor::ClockMs() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - started_)
             .count() +
         1'000;
}

HttpResponse Executor::Refuse(const std::string& reason) const {
  return {409,
          Json{{"clock_ms", ClockMs()}, {"born", born_ms_}, {"reason", reason}}
              .dump(),
          ""};
}

HttpResponse Executor::Handle(const HttpRequest& request) {
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != id_) {
    return {421, "{}", ""};
  }
  if (!up_) {
    return {};
  }
  if (request.method == "GET") {
    return {200, "{}", ""};
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return {400, "{}", ""};
  }
  {
    const std::lock_guard lock(mutex_);
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) {
      return Refuse("fence");
    }
    fence_ = fence;
  }
  if (request.target == "/run-start") {
    return StartRun(request.body);
  }
  if (request.target == "/run-stop") {
    return StopRun(request.body);
  }
  if (request.target == "/hold") {
    return Hold(request.body);
  }
  if (request.target == "/pace") {
    return Pace(request.body);
  }
  return {404, "{}", ""};
}

void Executor::TakeLease(int64_t until_ms) {
  const int64_t longest = ClockMs() + options_->longest_lease.count();
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, longest));
}

HttpResponse Executor::StartRun(const std::string& text) {
  const Json body = Json::parse(text);
  const std::string task = body.value("task", "");
  const int64_t run = body.value("run", int64_t{0});
  const int64_t until_ms = body.value("until_ms", int64_t{0});
  const Json needs = Json::parse(body.value("spec", ""), nullptr, false);
  if (!needs.is_object()) {
    return {400, Json{{"clock_ms", ClockMs()}, {"born", born_ms_}}.dump(), ""};
  }
  const std::lock_guard lock(mutex_);
  if (!up_) {
    return {};
  }
  const HttpResponse accepted{
      200, Json{{"clock_ms", ClockMs()}, {"born", born_ms_}}.dump(), ""};
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    TakeLease(until_ms);
    return accepted;
  }
  if (until_ms <= ClockMs()) {
    return Refuse("late");
  }
  TakeLease(until_ms);
  if (present != running_.end() || run <= highest_ended_[task]) {
    return Refuse("old");
  }
  Running added;
  added.run = run;
  added.cpu = needs.value("cpu", int64_t{0});
  added.memory_mb = needs.value("mem_mb", int64_t{0});
  int64_t cpu = added.cpu;
  int64_t memory_mb = added.memory_mb;
  for (const auto& [name, other] : running_) {
    cpu += other.cpu;
    memory_mb += other.memory_mb;
  }
  if (cpu > options_->cpu || memory_mb > options_->memory_mb) {
    return Refuse("room");
  }
  const int64_t work_ms = needs.value("work_ms", int64_t{0});
  added.long_running = work_ms == 0;
  added.started = Clock::now();
  added.finish = added.started + Milliseconds(work_ms);
  added.log_number =
      runs_->Add({id_, zone_, task, run, JobOf(task), record_->Now(), -1, ""});
  running_[task] = added;
  record_->Write("run     " + id_ + " (" + zone_ + ") begins " + task +
                 " run " + std::to_string(run) + " fence " +
                 std::to_string(fence_));
  changed_.notify_all();
  return accepted;
}

HttpResponse Executor::StopRun(const std::string& text) {
  const Json body = Json::parse(text);
  const std::string task = body.value("task", "");
  const int64_t run = body.value("run", int64_t{0});
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run <= run) {
    if (!found->second.stopping) {
      found->second.stopping = true;
      found->second.stop = Clock::now() + options_->stop_time;
    }
  } else {
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }
  return {200, Json{{"clock_ms", ClockMs()}, {"born", born_ms_}}.dump(), ""};
}

HttpResponse Executor::Pace(const std::string& text) {
  const Json body = Json::parse(text);
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(body.value("task", ""));
  if (found != running_.end()) {
    found->second.pace_percent = body.value("percent", int64_t{100});
  }
  return {200, Json{{"clock_ms", ClockMs()}, {"born", born_ms_}}.dump(), ""};
}

HttpResponse Executor::Hold(const std::string& text) {
  const Json body = Json::parse(text);
  const int64_t seen = body.value("last_seen", int64_t{0});
  const auto wait =
      Milliseconds(std::min<int64_t>(body.value("wait_ms", int64_t{0}), 2'000));
  std::unique_lock lock(mutex_);
  if (body.contains("until_ms")) {
    TakeLease(body.value("until_ms", int64_t{0}));
  }
  std::erase_if(ended_,
                [seen](const Ended& ended) { return ended.number <= seen; });
  changed_.wait_for(lock, wait, [this] { return !up_ || !ended_.empty(); });
  if (!up_) {
    return {};
  }
  Json lists{{"clock_ms", ClockMs()},
             {"born", born_ms_},
             {"running", Json::array()},
             {"ended", Json::array()}};
  for (const auto& [task, run] : running_) {
    lists["running"].push_back(
        Json::array({task, run.run, "", run.progress_percent, run.cpu}));
  }
  for (const Ended& ended : ended_) {
    if (lists["ended"].size() < 500) {
      lists["ended"].push_back(
          Json::array({ended.number, ended.task, ended.run, ended.how, ""}));
    }
  }
  return {200, lists.dump(), ""};
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  const Running run = found->second;
  running_.erase(found);
  highest_ended_[task] = std::max(highest_ended_[task], run.run);
  ended_.push_back({++last_number_, task, run.run, how});
  runs_->End(run.log_number, record_->Now(), how);
  record_->Write("run     " + id_ + " " + task + " run " +
                 std::to_string(run.run) + " ended: " + how);
  changed_.notify_all();
}

void Executor::Work() {
  while (up_) {
    SleepFor(kWorkInterval);
    const std::lock_guard lock(mutex_);
    if (!up_) {
      return;
    }
    const Clock::time_point now = Clock::now();
    const bool lapsed = ClockMs() >= lease_until_ms_;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, run] : running_) {
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stopping && now >= run.stop) {
        ends.emplace_back(task, "stopped");
      } else if (!run.long_running && now >= run.finish) {
        ends.emplace_back(task, "done");
      }
      const auto total =
          std::max<int64_t>(1, (run.finish - run.started).count());
      run.progress_percent =
          run.long_running ? 100 : 100 * (now - run.started).count() / total;
    }
    for (const auto& [task, how] : ends) {
      EndRun(task, how);
    }
  }
}

std::string Executor::HeartbeatBody() {
  const std::lock_guard lock(mutex_);
  Json body{
      {"service", options_->service},
      {"address", address()},
      {"zone", zone_},
      {"version", "v1"},
      {"slots", 8},
      {"state", draining_ ? "draining" : "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", options_->cpu}, {"mem_mb", options_->memory_mb}, {"gpu", 0}}},
      {"labels", {kind_, "r-" + zone_}},
      {"clock_ms", ClockMs()},
      {"born", born_ms_},
      {"seq", ++sequence_}};
  if (draining_) {
    body["drain_remaining_ms"] = options_->drain_time.count();
  }
  return body.dump();
}

HttpResponse Executor::CallControl(const std::string& method,
                                   const std::string& body) {
  const std::vector<std::string> machines = options_->Control();
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    address = machines[next_control_ % machines.size()];
  }
  const HttpResponse response =
      Call(route ? route(address) : address, method, "/instances/" + id_, {},
           body, kControlTimeout);
  if (response.status / 100 != 2) {
    const std::lock_guard lock(mutex_);
    ++next_control_;
  }
  return response;
}

bool Executor::SendHeartbeat() {
  const std::string body = HeartbeatBody();
  const size_t machines = options_->Control().size();
  for (size_t tries = 0; tries < machines && up_; ++tries) {
    if (CallControl("PUT", body).status / 100 == 2) {
      return true;
    }
  }
  return false;
}

void Executor::SendHeartbeats() {
  while (up_) {
    const bool acknowledged = SendHeartbeat();
    const Clock::time_point next =
        Clock::now() + (acknowledged ? options_->heartbeat : Milliseconds(200));
    while (up_ && Clock::now() < next) {
      SleepFor(Milliseconds(20));
    }
  }
}

}  // namespace review
