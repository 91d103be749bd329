#include "packages/caller/request_plane.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kMaintenanceInterval{200};
constexpr size_t kMessageQueue = 4096;
constexpr size_t kForwardQueue = 64;
constexpr size_t kQueryThreads = 4;
constexpr size_t kQueryQueue = 256;

RoutingTable::Options TableOptions(const RequestPlane::Options& options) {
  return {options.instance,    options.failure_domain, options.region,
          options.clock,       options.seed,           options.choose_target,
          options.choose_owner};
}

std::vector<FieldFault> FaultsOf(const RequestPlane::Options& options) {
  std::vector<FieldFault> faults;
  const auto check_name = [&faults](const char* path, const std::string& name) {
    if (!ValidateName(name).has_value()) {
      faults.push_back({path, "must be a valid name"});
    }
  };
  check_name("instance", options.instance);
  check_name("failure_domain", options.failure_domain);
  check_name("region", options.region);
  if (options.boot_id.empty()) {
    faults.push_back({"boot_id", "is required"});
  }
  if (!options.state.propose || !options.state.read) {
    faults.push_back({"state", "needs its propose and read hooks"});
  }
  return faults;
}

Error PoolFullError() {
  return MakeError(ErrorKind::kUnavailable,
                   "the owner has no free thread for this request",
                   "another owner is chosen");
}

}  // namespace

Result<std::unique_ptr<RequestPlane>> RequestPlane::Create(Options options) {
  std::vector<FieldFault> faults = FaultsOf(options);
  if (!faults.empty()) {
    return MakeInvalidArgument("the options of the request plane are not valid",
                               std::move(faults));
  }
  return std::unique_ptr<RequestPlane>(new RequestPlane(std::move(options)));
}

RequestPlane::RequestPlane(Options options)
    : options_(std::move(options)),
      table_(TableOptions(options_)),
      requests_({.instance = options_.instance}),
      client_({.clock = options_.clock}),
      claims_({.instance = options_.instance,
               .boot_id = options_.boot_id,
               .propose = options_.state.propose}),
      runner_({.table = &table_,
               .requests = &requests_,
               .client = &client_,
               .on_capacity = [this] { queue_.Notify(); }}),
      dispatcher_({.instance = options_.instance,
                   .seed = options_.seed,
                   .table = &table_,
                   .requests = &requests_,
                   .runner = &runner_,
                   .claims = &claims_,
                   .catalog = &catalog_,
                   .queue = &queue_,
                   .peers = options_.peers}),
      target_server_({.instance = options_.instance,
                      .failure_domain = options_.failure_domain,
                      .address = options_.targets.address,
                      .port = options_.targets.port,
                      .table = &table_,
                      .on_change = [this] { NoteChange(); }}),
      caller_server_(
          {.instance = options_.instance,
           .address = options_.callers.address,
           .port = options_.callers.port,
           .maximum_threads = options_.caller_threads,
           .maximum_queue = options_.caller_queue,
           .dispatcher = &dispatcher_,
           .request_state =
               [this](const std::string& id) { return RequestStateJson(id); }}),
      message_pool_({1, kMessageQueue}),
      forward_pool_({options_.forward_threads, kForwardQueue}),
      query_pool_({kQueryThreads, kQueryQueue}) {}

RequestPlane::~RequestPlane() {
  Stop(std::chrono::steady_clock::now());
}

Result<void> RequestPlane::Start() {
  catalog_.Refresh(options_.state);
  TRY(target_server_.Start());
  TRY(caller_server_.Start());
  maintenance_thread_ = std::thread([this] { RunMaintenance(); });
  return Success();
}

void RequestPlane::BeginDrain() {
  target_server_.BeginDrain();
}

bool RequestPlane::WaitForIdle(MonotonicTime deadline) {
  dispatcher_.RefuseNew();
  while (dispatcher_.InProgress() > 0 || forwarded_in_progress_.load() > 0 ||
         claims_.Unresolved() > 0) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

void RequestPlane::Stop(MonotonicTime deadline) {
  WaitForIdle(deadline);
  caller_server_.Stop();
  {
    absl::MutexLock lock(&maintenance_mutex_);
    stopping_ = true;
  }
  if (maintenance_thread_.joinable()) {
    maintenance_thread_.join();
  }
  message_pool_.Stop();
  forward_pool_.Stop();
  query_pool_.Stop();
  target_server_.Stop();
}

void RequestPlane::NoteChange() {
  queue_.Notify();
  absl::MutexLock lock(&maintenance_mutex_);
  summary_due_ = true;
}

void RequestPlane::RunMaintenance() {
  MonotonicTime due = std::chrono::steady_clock::now();
  while (true) {
    {
      const auto woken = [this] {
        maintenance_mutex_.AssertReaderHeld();
        return stopping_ || summary_due_;
      };
      absl::MutexLock lock(&maintenance_mutex_);
      maintenance_mutex_.AwaitWithTimeout(
          absl::Condition(&woken),
          absl::FromChrono(due - std::chrono::steady_clock::now()));
      if (stopping_) {
        return;
      }
      summary_due_ = false;
    }
    if (std::chrono::steady_clock::now() >= due) {
      Maintain();
      due = std::chrono::steady_clock::now() + kMaintenanceInterval;
    }
    SendSummary();
  }
}

void RequestPlane::Maintain() {
  for (const std::shared_ptr<TargetSession>& session : table_.RemoveExpired()) {
    LogEvent(kTargetExpired, {{"target", session->name()},
                              {"service", session->service()},
                              {"session", session->session()}});
  }
  catalog_.Refresh(options_.state);
  claims_.RetryDue();
  client_.RemoveOldConnections();
  queue_.Notify();
}

void RequestPlane::SendSummary() {
  if (options_.peers.peers.empty()) {
    return;
  }
  const std::vector<std::byte> bytes = EncodeRoutingMessage(table_.Summary());
  for (const std::string& peer : options_.peers.peers) {
    options_.peers.send(peer, bytes);
  }
}

void RequestPlane::HandlePeerMessage(std::string_view peer,
                                     std::span<const std::byte> payload) {
  const bool taken = message_pool_.TrySubmit(
      [this, peer = std::string(peer),
       bytes = std::vector<std::byte>(payload.begin(), payload.end())] {
        const Result<RoutingMessage> message = DecodeRoutingMessage(bytes);
        if (message.has_value()) {
          HandleMessage(peer, message.value());
        }
      });
  if (!taken) {
    dropped_messages_.fetch_add(1);
    LogEvent(kRoutingMessageDropped, {{"peer", peer}});
  }
}

void RequestPlane::HandleMessage(const std::string& peer,
                                 const RoutingMessage& message) {
  if (const auto* summary = std::get_if<TargetSummary>(&message)) {
    table_.UpdateOwner(peer, *summary);
    queue_.Notify();
  }
}

void RequestPlane::HandlePeerCall(std::string_view peer,
                                  std::span<const std::byte> payload,
                                  PeerAnswerCallback answer) {
  const bool taken = forward_pool_.TrySubmit(
      [this, peer = std::string(peer),
       bytes = std::vector<std::byte>(payload.begin(), payload.end()), answer] {
        const Result<RoutingMessage> message = DecodeRoutingMessage(bytes);
        if (!message.has_value()) {
          answer(message.error());
          return;
        }
        if (const auto* request =
                std::get_if<ForwardedRequest>(&message.value())) {
          answer(RunForwarded(peer, *request));
        }
      });
  if (!taken) {
    answer(PoolFullError());
  }
}

std::vector<std::byte> RequestPlane::RunForwarded(
    const std::string& peer,
    const ForwardedRequest& request) {
  forwarded_in_progress_.fetch_add(1);
  std::vector<std::byte> bytes =
      EncodeRoutingMessage(runner_.Run(request, peer));
  forwarded_in_progress_.fetch_sub(1);
  return bytes;
}

Result<Json> RequestPlane::RequestStateJson(const std::string& request_id) {
  const std::optional<RequestRecord> record = requests_.Find(request_id);
  if (!record.has_value()) {
    return MakeError(ErrorKind::kNotFound, "no such request is known",
                     "check the request id");
  }
  return record->ToJson();
}

Result<Json> RequestPlane::ExplainJson(const std::string& request_id) {
  return RequestStateJson(request_id);
}

std::vector<std::pair<std::string, int64_t>> RequestPlane::Counters() const {
  const RequestDispatcher::Counters& counters = dispatcher_.counters();
  return {{"requests_accepted", counters.accepted.load()},
          {"requests_answered", counters.answered.load()},
          {"requests_not_run", counters.not_run.load()},
          {"requests_outcome_unknown", counters.outcome_unknown.load()},
          {"requests_replayed", counters.replayed.load()},
          {"requests_retried", counters.retries.load()},
          {"requests_forwarded", counters.forwarded.load()},
          {"requests_in_progress", dispatcher_.InProgress()},
          {"requests_waiting", static_cast<int64_t>(queue_.Waiting())},
          {"claims_unresolved", static_cast<int64_t>(claims_.Unresolved())},
          {"caller_server_refusals", caller_server_.refusals()},
          {"routing_messages_dropped", dropped_messages_.load()}};
}

}  // namespace bramleyrail
