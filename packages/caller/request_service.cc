#include "packages/caller/request_service.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kMaintenanceInterval{200};
// Limits the rate of summaries: a target at its limit frees capacity with each
// response, and each would otherwise send a summary to all peers.
constexpr Milliseconds kMinimumSummaryInterval{10};
constexpr size_t kMessageQueueLength = 4096;
constexpr size_t kForwardQueueLength = 64;
constexpr size_t kQueryThreads = 4;
constexpr size_t kQueryQueueLength = 256;

RoutingTable::Options TableOptions(const RequestService::Options& options) {
  return {options.instance,    options.failure_domain, options.region,
          options.clock,       options.seed,           options.choose_target,
          options.choose_owner};
}

std::vector<FieldFault> FindOptionFaults(
    const RequestService::Options& options) {
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
    faults.push_back({"state", "must have both propose and read set"});
  }
  return faults;
}

Error PoolFullError() {
  return MakeError(ErrorKind::kUnavailable,
                   "the owner has no free thread for this request",
                   "no action is needed; the entry instance tries another "
                   "owner");
}

}  // namespace

Result<std::unique_ptr<RequestService>> RequestService::Create(
    Options options) {
  std::vector<FieldFault> faults = FindOptionFaults(options);
  if (!faults.empty()) {
    return MakeInvalidArgument("the options of RequestService are not valid",
                               std::move(faults));
  }
  return std::unique_ptr<RequestService>(
      new RequestService(std::move(options)));
}

RequestService::RequestService(Options options)
    : options_(std::move(options)),
      table_(TableOptions(options_)),
      requests_({.instance = options_.instance}),
      client_({.clock = options_.clock}),
      claim_manager_({.instance = options_.instance,
                      .boot_id = options_.boot_id,
                      .propose = options_.state.propose}),
      local_executor_({.table = &table_,
                       .requests = &requests_,
                       .client = &client_,
                       .on_capacity_freed =
                           [this](bool was_full) {
                             // Other instances consider a full owner as full
                             // until they receive its next summary.
                             was_full ? NotifyCapacityChange()
                                      : queue_.Notify();
                           }}),
      dispatcher_({.instance = options_.instance,
                   .seed = options_.seed,
                   .table = &table_,
                   .requests = &requests_,
                   .local_executor = &local_executor_,
                   .claims = &claim_manager_,
                   .catalog = &catalog_,
                   .queue = &queue_,
                   .peers = options_.peers}),
      lookup_({.instance = options_.instance,
               .requests = &requests_,
               .state = options_.state,
               .peers = options_.peers,
               .clock = options_.clock}),
      watch_relay_({.table = &table_,
                    .client = &client_,
                    .local_executor = &local_executor_}),
      target_server_({.instance = options_.instance,
                      .failure_domain = options_.failure_domain,
                      .address = options_.targets.address,
                      .port = options_.targets.port,
                      .table = &table_,
                      .on_change = [this] { NotifyCapacityChange(); }}),
      caller_server_(
          {.instance = options_.instance,
           .address = options_.callers.address,
           .port = options_.callers.port,
           .maximum_threads = options_.caller_threads,
           .maximum_queue = options_.caller_queue,
           .dispatcher = &dispatcher_,
           .request_state =
               [this](const std::string& id) { return RequestStateJson(id); }}),
      watch_server_({.instance = options_.instance,
                     .address = options_.watches.address,
                     .port = options_.watches.port,
                     .maximum_threads = options_.watch_threads,
                     .table = &table_,
                     .relay = &watch_relay_,
                     .peers = options_.peers}),
      message_pool_({1, kMessageQueueLength}),
      forward_pool_({options_.forward_threads, kForwardQueueLength}),
      query_pool_({kQueryThreads, kQueryQueueLength}) {}

RequestService::~RequestService() {
  Stop(std::chrono::steady_clock::now());
}

Result<void> RequestService::Start() {
  catalog_.Refresh(options_.state);
  TRY(target_server_.Start());
  TRY(caller_server_.Start());
  TRY(watch_server_.Start());
  maintenance_thread_ = std::thread([this] { MaintenanceLoop(); });
  return Success();
}

void RequestService::BeginDrain() {
  target_server_.BeginDrain();
  watch_server_.BeginDrain();
  watch_relay_.BeginDrain();
}

bool RequestService::WaitForIdle(MonotonicTime deadline) {
  dispatcher_.RefuseNewRequests();
  while (dispatcher_.InProgress() > 0 || forwarded_in_progress_.load() > 0 ||
         claim_manager_.UnresolvedCount() > 0) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
  return true;
}

void RequestService::Stop(MonotonicTime deadline) {
  BeginDrain();
  if (!WaitForIdle(deadline)) {
    dispatcher_.Abort();
    client_.Abort();
  }
  caller_server_.Stop();
  watch_server_.Stop();
  watch_relay_.Stop();
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

void RequestService::NotifyCapacityChange() {
  queue_.Notify();
  absl::MutexLock lock(&maintenance_mutex_);
  summary_due_ = true;
}

void RequestService::MaintenanceLoop() {
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
      RunMaintenance();
      due = std::chrono::steady_clock::now() + kMaintenanceInterval;
    }
    SendSummary();
    std::this_thread::sleep_for(kMinimumSummaryInterval);
  }
}

void RequestService::RunMaintenance() {
  for (const std::shared_ptr<TargetSession>& session : table_.RemoveExpired()) {
    LogEvent(kTargetExpired, {{"target", session->name()},
                              {"service", session->service()},
                              {"session", session->session()}});
  }
  catalog_.Refresh(options_.state);
  options_.state.read([this](const ClusterState& state) {
    table_.UpdateDrained([&state](std::string_view target) {
      return state.IsTargetDrained(target);
    });
  });
  claim_manager_.RetryDueResolutions();
  client_.CloseExpiredConnections();
  queue_.Notify();
}

void RequestService::SendSummary() {
  if (options_.peers.names.empty()) {
    return;
  }
  const std::vector<std::byte> bytes = EncodeRoutingMessage(table_.Summary());
  for (const std::string& peer : options_.peers.names) {
    options_.peers.send(peer, bytes);
  }
}

void RequestService::HandlePeerMessage(std::string_view peer,
                                       std::span<const std::byte> payload) {
  const bool submitted = message_pool_.TrySubmit(
      [this, peer = std::string(peer),
       bytes = std::vector<std::byte>(payload.begin(), payload.end())] {
        const Result<RoutingMessage> message = DecodeRoutingMessage(bytes);
        if (message.has_value()) {
          HandleMessage(peer, message.value());
        }
      });
  if (!submitted) {
    dropped_messages_.fetch_add(1);
    LogEvent(kRoutingMessageDropped, {{"peer", peer}});
  }
}

void RequestService::HandleMessage(const std::string& peer,
                                   const RoutingMessage& message) {
  if (const auto* summary = std::get_if<TargetSummary>(&message)) {
    table_.UpdateOwner(peer, *summary);
    queue_.Notify();
  } else if (const auto* event = std::get_if<WatchEvent>(&message)) {
    watch_server_.HandleEvent(*event);
  } else if (const auto* alive = std::get_if<WatchKeepAlive>(&message)) {
    watch_relay_.KeepAlive(alive->watch_id);
  } else if (const auto* end = std::get_if<WatchEnd>(&message)) {
    // Either the owner or the entry instance can end a watch.
    watch_server_.HandleEnd(*end);
    watch_relay_.Cancel(end->watch_id);
  }
}

void RequestService::HandlePeerCall(std::string_view peer,
                                    std::span<const std::byte> payload,
                                    PeerResponseCallback respond) {
  Result<RoutingMessage> decoded = DecodeRoutingMessage(payload);
  if (!decoded.has_value()) {
    respond(decoded.error());
    return;
  }
  auto message =
      std::make_shared<const RoutingMessage>(std::move(decoded).value());
  // Forwarded requests occupy their threads for long, so queries and watches
  // use a pool of their own.
  BoundedThreadPool& pool = std::holds_alternative<ForwardedRequest>(*message)
                                ? forward_pool_
                                : query_pool_;
  const bool submitted =
      pool.TrySubmit([this, peer = std::string(peer), message, respond,
                      arrival = std::chrono::steady_clock::now()] {
        HandleCall(peer, *message, arrival, respond);
      });
  if (!submitted) {
    respond(PoolFullError());
  }
}

void RequestService::HandleCall(const std::string& peer,
                                const RoutingMessage& message,
                                MonotonicTime arrival,
                                const PeerResponseCallback& respond) {
  if (const auto* forwarded = std::get_if<ForwardedRequest>(&message)) {
    forwarded_in_progress_.fetch_add(1);
    ForwardedRequest request = *forwarded;
    // Deducts the time that the request waited for a thread.
    request.remaining -= std::chrono::ceil<Milliseconds>(
        std::chrono::steady_clock::now() - arrival);
    respond(EncodeRoutingMessage(local_executor_.Run(request, peer)));
    forwarded_in_progress_.fetch_sub(1);
  } else if (const auto* query = std::get_if<RequestStateQuery>(&message)) {
    respond(EncodeRoutingMessage(lookup_.LocalRecords(query->request_id)));
  } else if (const auto* watch = std::get_if<WatchOpen>(&message)) {
    OpenWatchForPeer(peer, *watch, respond);
  } else {
    respond(MakeError(
        ErrorKind::kInvalidArgument,
        "the peer called with a routing message that is not a request",
        "run compatible versions on all instances"));
  }
}

void RequestService::OpenWatchForPeer(const std::string& peer,
                                      const WatchOpen& watch,
                                      const PeerResponseCallback& respond) {
  const auto send = [this, peer](const RoutingMessage& message) {
    return options_.peers.send(peer, EncodeRoutingMessage(message));
  };
  watch_relay_.Open(
      watch,
      {[respond](const WatchOpened& opened) {
         respond(EncodeRoutingMessage(opened));
       },
       [send, id = watch.watch_id](int64_t position, std::string line) {
         return send(WatchEvent{id, position, std::move(line)});
       },
       [send, id = watch.watch_id](int64_t position, std::string reason) {
         send(WatchEnd{id, position, std::move(reason)});
       }});
}

Result<Json> RequestService::RequestStateJson(const std::string& request_id) {
  return lookup_.Find(request_id);
}

Result<Json> RequestService::ExplainJson(const std::string& request_id) {
  TRY(state, lookup_.Find(request_id));
  const Json& records = state.at("records");
  Json targets = Json::array();
  if (!records.empty()) {
    targets = TargetsJson(records.front().at("service"));
  }
  return Json{{"request", std::move(state)}, {"targets", std::move(targets)}};
}

Json RequestService::TargetsJson(const std::string& service) {
  const MonotonicTime now = options_.clock();
  Json targets = Json::array();
  for (const std::shared_ptr<TargetSession>& session : table_.Sessions()) {
    if (session->service() != service) {
      continue;
    }
    targets.push_back(
        {{"target", session->name()},
         {"session", session->session()},
         {"slots", session->slots()},
         {"slots_in_use", session->slots_in_use()},
         {"connections", session->connections()},
         {"connections_in_use", session->connections_in_use()},
         {"may_send", session->MaySend(now)},
         {"drained", session->drained()},
         {"ejected", session->health().IsEjected(now)},
         {"latency_ms", session->health().LatencyMilliseconds()}});
  }
  return targets;
}

std::vector<std::pair<std::string, int64_t>> RequestService::Counters() const {
  const RequestDispatcher::Counters& counters = dispatcher_.counters();
  return {{"requests_accepted", counters.accepted.load()},
          {"requests_answered", counters.completed.load()},
          {"requests_not_run", counters.not_run.load()},
          {"requests_outcome_unknown", counters.outcome_unknown.load()},
          {"requests_replayed", counters.replayed.load()},
          {"requests_retried", counters.retries.load()},
          {"requests_forwarded", counters.forwarded.load()},
          {"requests_in_progress", dispatcher_.InProgress()},
          {"requests_waiting", static_cast<int64_t>(queue_.Waiting())},
          {"watches_active", static_cast<int64_t>(watch_server_.Active())},
          {"watches_relayed", static_cast<int64_t>(watch_relay_.Active())},
          {"claims_unresolved",
           static_cast<int64_t>(claim_manager_.UnresolvedCount())},
          {"caller_server_refusals", caller_server_.refusals()},
          {"watch_server_refusals", watch_server_.refusals()},
          {"target_server_refusals", target_server_.refusals()},
          {"routing_messages_dropped", dropped_messages_.load()}};
}

}  // namespace bramleyrail
