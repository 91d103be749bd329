#include "executor.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kTickMs = 10;
constexpr int64_t kStopMs = 50;  // The pages allow up to `stop_ms`.
constexpr size_t kListedEnds = 500;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "i-%010llx",
                static_cast<unsigned long long>(random() >> 24));
  return text;
}

int64_t WorkMs(const std::string& spec) {
  const size_t at = spec.find("work_ms=");
  return at == std::string::npos ? -1 : std::atoll(spec.c_str() + at + 8);
}

}  // namespace

Executor::Executor(ExecutorSettings settings, Record* record)
    : settings_(std::move(settings)), record_(record) {
  worker_ = std::thread([this] { Work(); });
  beater_ = std::thread([this] { Beat(); });
}

Executor::~Executor() {
  record_->Write("executor " + settings_.ip + " is taken away at the end");
  Crash();
  server_.reset();
  quit_ = true;
  changed_.notify_all();
  worker_.join();
  beater_.join();
}

void Executor::Start() {
  Begin(NewId());
}

void Executor::StartAgain() {
  Begin(id_);
}

void Executor::DelayNextHold(int64_t ms) {
  hold_delay_ms_ = ms;
}

History Executor::CopyHistory() {
  std::lock_guard lock(mutex_);
  return history_;
}

void Executor::Begin(std::string id) {
  std::lock_guard lock(mutex_);
  id_ = std::move(id);
  born_ = UnixMs();
  epoch_ = Clock::now();
  sequence_ = 0;
  fence_ = 0;
  until_ms_ = 0;
  last_end_ = 0;
  runs_.clear();
  highest_ended_.clear();
  ends_.clear();
  acknowledged_ = 0;
  up_ = true;
  if (settings_.closes_connections && server_ == nullptr) {
    server_ = std::make_unique<HttpServer>(
        settings_.ip, settings_.port,
        [this](const Request& request) {
          const int64_t delay =
              request.target == "/hold" ? hold_delay_ms_.exchange(0) : 0;
          if (delay > 0) {
            record_->Write("a hold call to " + settings_.ip +
                           " is late: " + request.body);
            hold_delayed_ = true;
            std::this_thread::sleep_for(std::chrono::milliseconds(delay));
            hold_delayed_ = false;
            record_->Write("the late hold call reaches " + settings_.ip);
          }
          {
            std::lock_guard inner(mutex_);
            if (!up_) {
              return Response{};
            }
          }
          return Handle(request);
        },
        true);
  } else if (server_ == nullptr) {
    server_ = std::make_unique<HttpServer>(
        settings_.ip, settings_.port, [this, id = id_](const Request& request) {
          {
            std::lock_guard inner(mutex_);
            if (!up_ || id != id_) {
              return Response{};
            }
          }
          return Handle(request);
        });
  }
  record_->Write("executor " + settings_.ip + " starts as " + id_);
  changed_.notify_all();
}

void Executor::Crash() {
  std::unique_ptr<HttpServer> server;
  {
    std::lock_guard lock(mutex_);
    if (!up_) {
      return;
    }
    up_ = false;
    if (!settings_.closes_connections) {
      server = std::move(server_);
    }
    for (History::Done& done : history_.done) {
      done.excused = done.excused || !done.noted;
    }
    std::string lost;
    for (const auto& [task, run] : runs_) {
      lost += " " + task + "/" + std::to_string(run.run);
    }
    record_->Write("executor " + id_ + " goes down, with it end" +
                   (lost.empty() ? " no runs" : lost));
    runs_.clear();
    changed_.notify_all();
  }
  if (server != nullptr) {
    server->Stop();
  }
}

bool Executor::IsRunning(const std::string& task_prefix) {
  std::lock_guard lock(mutex_);
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& item) {
    return item.first.starts_with(task_prefix);
  });
}

int Executor::CountRunning() {
  std::lock_guard lock(mutex_);
  return static_cast<int>(runs_.size());
}

int64_t Executor::ClockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               epoch_)
      .count();
}

std::string Executor::Stamp(const std::string& rest) const {
  return "{\"clock_ms\":" + std::to_string(ClockMs()) +
         ",\"born\":" + std::to_string(born_) + rest + "}";
}

Response Executor::Handle(const Request& request) {
  if (request.method == "GET") {
    return {200, "{}"};
  }
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != id_) {
    return {421, "{}"};
  }
  if (request.target == "/run-start") {
    return HandleStart(request.body);
  }
  if (request.target == "/run-stop") {
    return HandleStop(request.body);
  }
  if (request.target == "/hold") {
    return HandleHold(request.body);
  }
  if (request.target == "/pace") {
    return HandlePace(request.body);
  }
  return {404, "{}"};
}

Response Executor::HandleStart(const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  if (order.is_discarded()) {
    return {400, "{}"};
  }
  std::lock_guard lock(mutex_);
  Advance();
  const std::string task = order.value("task", "");
  const auto run = order.value("run", uint64_t{0});
  const auto fence = order.value("fence", uint64_t{0});
  const auto refuse = [&](const char* reason) {
    record_->Write("executor " + id_ + " refuses start of " + task + "/" +
                   std::to_string(run) + ": " + reason);
    return Response{409, Stamp(std::string(",\"reason\":\"") + reason + "\"")};
  };
  if (fence < fence_) {
    return refuse("fence");
  }
  fence_ = fence;
  const auto until = std::min(order.value("until_ms", int64_t{0}),
                              ClockMs() + settings_.longest_hold_ms);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) {
    until_ms_ = std::max(until_ms_, until);
    return {200, Stamp("")};
  }
  if (until <= ClockMs()) {
    return refuse("late");
  }
  until_ms_ = std::max(until_ms_, until);
  const auto ended = highest_ended_.find(task);
  if (found != runs_.end() ||
      (ended != highest_ended_.end() && run <= ended->second)) {
    return refuse("old");
  }
  Run added;
  added.run = run;
  added.started = Clock::now();
  added.work_ms = WorkMs(order.value("spec", ""));
  runs_[task] = added;
  record_->Write("executor " + id_ + " starts " + task + "/" +
                 std::to_string(run));
  history_.starts.push_back({task, run, record_->Seconds()});
  return {200, Stamp("")};
}

Response Executor::HandleStop(const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  if (order.is_discarded()) {
    return {400, "{}"};
  }
  std::lock_guard lock(mutex_);
  Advance();
  const auto fence = order.value("fence", uint64_t{0});
  if (fence < fence_) {
    return {409, Stamp(",\"reason\":\"fence\"")};
  }
  fence_ = fence;
  const std::string task = order.value("task", "");
  const auto run = order.value("run", uint64_t{0});
  record_->Write("executor " + id_ + " is told to stop " + task + "/" +
                 std::to_string(run));
  highest_ended_[task] = std::max(highest_ended_[task], run);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run <= run &&
      !found->second.stopping) {
    found->second.stopping = true;
    found->second.stop_at = Clock::now() + std::chrono::milliseconds(kStopMs);
  }
  return {200, Stamp("")};
}

Response Executor::HandleHold(const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  if (order.is_discarded()) {
    return {400, "{}"};
  }
  std::unique_lock lock(mutex_);
  Advance();
  const auto fence = order.value("fence", uint64_t{0});
  if (fence < fence_) {
    return {409, Stamp(",\"reason\":\"fence\"")};
  }
  fence_ = fence;
  if (order.contains("until_ms")) {
    until_ms_ =
        std::max(until_ms_, std::min(order.value("until_ms", int64_t{0}),
                                     ClockMs() + settings_.longest_hold_ms));
  }
  const auto last_seen = order.value("last_seen", int64_t{0});
  for (History::Done& done : history_.done) {
    if (!done.noted && !done.excused && done.number <= last_seen) {
      done.noted = true;
      record_->Write("end " + std::to_string(done.number) + " of " + id_ +
                     " is taken note of: " + done.task + "/" +
                     std::to_string(done.run) + " done");
    }
  }
  acknowledged_ = std::max(acknowledged_, last_seen);
  while (!ends_.empty() && ends_.front().number <= acknowledged_) {
    ends_.pop_front();
  }
  const std::string id = id_;
  changed_.wait_for(
      lock, std::chrono::milliseconds(order.value("wait_ms", int64_t{0})),
      [&] { return !ends_.empty() || !up_ || id != id_; });
  if (!up_ || id != id_) {
    return {};
  }
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(
                            Clock::now() - run.started)
                            .count();
    const int64_t percent =
        run.work_ms <= 0 ? 100
                         : std::min<int64_t>(99, 100 * worked / run.work_ms);
    running.push_back({task, run.run, "", percent, 1});
  }
  Json ended = Json::array();
  for (const End& end : ends_) {
    if (ended.size() == kListedEnds) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  return {200, Stamp(",\"running\":" + running.dump() +
                     ",\"ended\":" + ended.dump())};
}

Response Executor::HandlePace(const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  std::lock_guard lock(mutex_);
  const auto fence = order.value("fence", uint64_t{0});
  if (fence < fence_) {
    return {409, Stamp(",\"reason\":\"fence\"")};
  }
  fence_ = fence;
  return {200, Stamp("")};
}

void Executor::Advance() {
  if (!up_) {
    return;
  }
  const auto now = Clock::now();
  std::vector<std::pair<std::string, std::string>> due;
  const bool lapsed = ClockMs() > until_ms_;
  for (History::Done& done : history_.done) {
    done.excused = done.excused || (lapsed && !done.noted);
  }
  for (const auto& [task, run] : runs_) {
    if (run.work_ms >= 0 &&
        now - run.started >= std::chrono::milliseconds(run.work_ms)) {
      due.emplace_back(task, "done");
    } else if (lapsed) {
      due.emplace_back(task, "lapsed");
    } else if (run.stopping && now >= run.stop_at) {
      due.emplace_back(task, "stopped");
    }
  }
  for (const auto& [task, how] : due) {
    EndRun(task, how);
  }
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const uint64_t run = runs_.at(task).run;
  runs_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ++last_end_;
  if (last_end_ > acknowledged_) {
    ends_.push_back({last_end_, task, run, how});
  }
  if (how == "done") {
    history_.done.push_back({task, run, last_end_, record_->Seconds()});
  }
  record_->Write("executor " + id_ + " ends " + task + "/" +
                 std::to_string(run) + " " + how + " as " +
                 std::to_string(last_end_));
  changed_.notify_all();
}

void Executor::Work() {
  while (!quit_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kTickMs));
    std::lock_guard lock(mutex_);
    Advance();
  }
}

void Executor::Beat() {
  size_t node = 0;
  auto next = Clock::now();
  int64_t born = 0;
  while (!quit_) {
    Json beat;
    std::string id;
    {
      std::unique_lock lock(mutex_);
      if (!up_ || (born == born_ && Clock::now() < next)) {
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      id = id_;
      born = born_;
      beat = {
          {"service", settings_.service},
          {"address", settings_.ip + ":" + std::to_string(settings_.port)},
          {"machine", "m-" + settings_.ip},
          {"zone", settings_.zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           {{"cpu", settings_.cpu}, {"mem_mb", settings_.mem_mb}, {"gpu", 0}}},
          {"labels", {settings_.kind, settings_.rack}},
          {"clock_ms", ClockMs()},
          {"born", born_},
          {"seq", ++sequence_}};
    }
    next = Clock::now() + std::chrono::milliseconds(settings_.heartbeat_ms);
    const std::string text = beat.dump();
    for (size_t tries = 0; tries < settings_.control_ips.size(); ++tries) {
      const Response response =
          Call(settings_.control_ips[node % settings_.control_ips.size()],
               settings_.control_port, "PUT", "/instances/" + id, text, 1'000);
      if (response.status >= 200 && response.status < 300) {
        break;
      }
      ++node;
    }
  }
}

}  // namespace review
