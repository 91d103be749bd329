#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include "packages/bramleyraild/bramleyraild_events.h"
#include "packages/bramleyraild/control_network.h"
#include "packages/bramleyraild/descriptor_budget.h"
#include "packages/bramleyraild/memory_budget.h"
#include "packages/bramleyraild/relayed_memory.h"
#include "packages/bramleyraild/role_instance.h"
#include "packages/bramleyraild/role_metrics.h"

namespace bramleyrail {

namespace {

// Operators and workers move on to another instance after a second.
constexpr Milliseconds kForwardLimit{900};
// A proposal without a commit for this long is given up; callers have left.
constexpr Milliseconds kProposeTimeout{2'500};
// A lease is shorter than the longest one by this much, so that a worker never
// shortens it.
constexpr Milliseconds kLeaseReserve{500};
constexpr Milliseconds kLongestLease{5'500};
// Time for another instance to take over the leadership of a stopping one.
constexpr Milliseconds kTransferTime{1'500};
constexpr Milliseconds kStopPoll{20};
// The first may still be held by the renewal to an earlier incarnation, or by
// one that was sent before the lease expired.
constexpr size_t kRenewalConnectionsPerWorker = 2;

class ControlInstance final : public RoleInstance {
 public:
  ControlInstance(RoleSettings settings,
                  DescriptorBudget descriptors,
                  MemoryBudget memory,
                  PlatformHooks hooks)
      : settings_(std::move(settings)),
        descriptors_(descriptors),
        memory_(memory),
        relayed_memory_(memory.relayed),
        connection_memory_(
            std::make_shared<ConnectionMemory>(memory.connections)),
        hooks_(std::move(hooks)),
        own_name_(ControlInstanceName(settings_.address)),
        loop_(IoLoop::Create()),
        orders_(loop_.get(),
                {.connections = {.maximum_connections = descriptors.orders}}),
        renewals_(loop_.get(),
                  {.connections = {.maximum_connections = descriptors.renewals,
                                   .maximum_connections_per_address =
                                       kRenewalConnectionsPerWorker}}) {}

  ~ControlInstance() override {
    if (network_ != nullptr) {
      network_->network().Stop();
    }
    if (queue_ != nullptr) {
      queue_->replica().Stop();
    }
    loop_->Stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  Result<void> Start() {
    TRY(network,
        ControlNetwork::Create(settings_, descriptors_.peers, memory_.peers));
    network_ = std::move(network);
    TRY(CreateQueue());
    CreateService();
    relay_ = std::make_unique<LeaderRelay>(
        loop_.get(), network_->RelayOptions(RelayOrigin::kOperatorOrWorker));
    confirmation_ = std::make_unique<OrderConfirmation>(
        loop_.get(),
        [this](HttpRequest request, Milliseconds limit, HttpResponder respond) {
          SendToLeader(std::move(request), limit, std::move(respond));
        });
    TRY(control, AsyncHttpServer::Create(
                     loop_.get(),
                     {.address = settings_.control_address,
                      .maximum_connections = descriptors_.server,
                      .memory = connection_memory_},
                     [this](HttpRequest request, HttpResponder respond) {
                       HandleControl(std::move(request), std::move(respond));
                     }));
    control_ = std::move(control);
    if (settings_.metrics_port != 0) {
      TRY(metrics,
          StartMetricsServer(loop_.get(), settings_, connection_memory_,
                             [this] { return Metrics(); }));
      metrics_ = std::move(metrics);
    }
    BindPeerChannels();
    TRY(network_->network().Start());
    queue_->replica().Start();
    loop_->Post([this] { dispatch_->Start(); });
    thread_ = std::thread([this] { loop_->Run(); });
    LogEvent(kInstanceReady, {{"instance", settings_.instance}});
    return Success();
  }

  void Reload(const RoleSettings& settings) override {
    for (const std::string& ip : settings.control_instances) {
      network_->Learn(ControlInstanceName(ip));
    }
  }

  bool Stop() override {
    loop_->Post([this] { control_->BeginDrain(); });
    const MonotonicTime limit =
        std::chrono::steady_clock::now() +
        std::min(kTransferTime, settings_.stop_deadline / 2);
    if (queue_->replica().IsLeader()) {
      queue_->replica().TransferLeadership();
    }
    while (queue_->replica().IsLeader()) {
      if (std::chrono::steady_clock::now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(kStopPoll);
    }
    return true;
  }

 private:
  Result<void> CreateQueue() {
    Replica::Options options;
    options.instance_name = own_name_;
    options.data_folder = settings_.data_folder;
    for (const std::string& ip : settings_.control_instances) {
      options.initial_voters.push_back(ControlInstanceName(ip));
    }
    options.target_voters =
        static_cast<size_t>(2 * settings_.tolerated_losses + 1);
    options.peers = options.initial_voters;
    options.seed = Hash64(NewUniqueId(), 0);
    options.propose_timeout = kProposeTimeout;
    options.send = [this](std::string_view peer,
                          std::span<const std::byte> bytes) {
      network_->Learn(peer);
      return network_->network().Send(peer, PeerChannel::kReplication, bytes);
    };
    TRY(queue, ReplicatedQueue::Create(std::move(options), [this] {
          if (dispatch_ != nullptr) {
            dispatch_->Wake();
          }
        }));
    queue_ = std::move(queue);
    return Success();
  }

  void CreateService() {
    DispatchLoop::Options options;
    options.instance = own_name_;
    options.dispatcher.placement.local_region = settings_.region;
    options.dispatcher.placement.region_of_failure_domain =
        settings_.region_of_failure_domain;
    options.dispatcher.maximum_lease = settings_.maximum_lease;
    options.dispatcher.lease =
        std::min(settings_.maximum_lease - kLeaseReserve, kLongestLease);
    options.dispatcher.plans_ending_steps = settings_.plan_ending_steps;
    options.dispatcher.maximum_job_bytes = static_cast<int64_t>(memory_.jobs);
    options.job_retention = settings_.job_retention * 2;
    options.clients = {.orders = &orders_, .renewals = &renewals_};
    options.call_worker = hooks_.worker_caller(options.clients);
    dispatch_ = std::make_unique<DispatchLoop>(loop_.get(), queue_.get(),
                                               std::move(options));
    std::set<std::string> failure_domains;
    for (const auto& [name, region] : settings_.region_of_failure_domain) {
      failure_domains.insert(name);
    }
    service_ = std::make_unique<ControlService>(
        loop_.get(), queue_.get(), dispatch_.get(), std::move(failure_domains));
    handle_caller_ = hooks_.caller_handler(service_.get());
    handle_control_ = hooks_.control_handler(service_.get());
  }

  void BindPeerChannels() {
    network_->network().SetMessageHandler(
        PeerChannel::kReplication,
        [this](std::string_view peer, std::span<const std::byte> payload) {
          queue_->replica().ReceiveMessage(peer, payload);
        });
    network_->network().SetCallHandler(
        PeerChannel::kControl,
        [this](std::string_view, std::span<const std::byte> payload,
               PeerAnswer answer) {
          const std::shared_ptr<void> room =
              relayed_memory_.Take(payload.size());
          if (room == nullptr) {
            answer(EncodeRelayed(RelayedResponse{
                .status = 503,
                .retry_after_s = 1,
                .body = R"({"error":"too much is in progress; the request )"
                        R"(was not executed"})"}));
            return;
          }
          auto request = DecodeRelayedRequest(payload);
          if (!request) {
            answer(request.error());
            return;
          }
          loop_->Post([this, request = std::move(request).value(),
                       answer = std::move(answer), room]() mutable {
            HandleRelayed(std::move(request),
                          [answer = std::move(answer),
                           room](const Result<std::vector<std::byte>>& result) {
                            answer(result);
                          });
          });
        });
  }

  // Name of the leader as far as the replica knows, or empty.
  std::string LeaderName() const {
    const ReplicaStatus status = queue_->replica().Status();
    return status.leader ? status.leader->name : std::string();
  }

  // The latest configuration may not be committed yet. That does no harm, since
  // the list is only used to reach the instances.
  std::vector<std::string> MemberNames() const {
    const ReplicaStatus status = queue_->replica().Status();
    std::set<std::string> names;
    for (const auto* ids : {&status.voters, &status.learners}) {
      for (const ReplicaId& id : *ids) {
        names.insert(id.name);
      }
    }
    return {names.begin(), names.end()};
  }

  void HandleRelayed(RelayedRequest request, PeerAnswer answer) {
    if (!service_->leads()) {
      RelayedResponse response;
      response.not_leader = true;
      response.leader = LeaderName();
      if (response.leader == own_name_) {
        response.leader.clear();
      }
      answer(EncodeRelayed(response));
      return;
    }
    if (request.asks_members) {
      RelayedResponse response;
      response.members = MemberNames();
      answer(EncodeRelayed(response));
      return;
    }
    const HttpHandler& handler =
        request.from_caller ? handle_caller_ : handle_control_;
    RunHandler(handler, FromRelayed(std::move(request)),
               [answer = std::move(answer)](HttpResponse response) {
                 answer(EncodeRelayed(ToRelayed(std::move(response))));
               });
  }

  void HandleControl(HttpRequest request, HttpResponder respond) {
    RemoveOrderRevision(&request);
    if (hooks_.may_be_replaced(request)) {
      confirmation_->Handle(std::move(request), kForwardLimit,
                            std::move(respond));
      return;
    }
    SendToLeader(std::move(request), kForwardLimit, std::move(respond));
  }

  void SendToLeader(HttpRequest request,
                    Milliseconds limit,
                    HttpResponder respond) {
    if (service_->leads()) {
      RunHandler(handle_control_, std::move(request), std::move(respond));
      return;
    }
    relay_->SetLeaderHint(LeaderName());
    relay_->Forward(std::move(request), limit, std::move(respond));
  }

  std::vector<MetricSample> Metrics() const {
    const ReplicaStatus status = queue_->replica().Status();
    std::vector<MetricSample> samples = {
        {"leads", {}, service_->leads() ? 1.0 : 0.0},
        {"replica_term", {}, static_cast<double>(status.term)},
        {"replica_voters", {}, static_cast<double>(status.voters.size())},
        {"replica_commit_index", {}, static_cast<double>(status.commit_index)},
        {"control_open_requests",
         {},
         static_cast<double>(control_->open_requests())},
        {"control_connections",
         {},
         static_cast<double>(control_->open_connections())},
        {"control_connections_limit",
         {},
         static_cast<double>(descriptors_.server)}};
    AppendMemory(*connection_memory_, memory_, network_->network(), &samples);
    samples.push_back({"relayed_memory_bytes",
                       {},
                       static_cast<double>(relayed_memory_.used())});
    samples.push_back({"relayed_memory_limit_bytes",
                       {},
                       static_cast<double>(relayed_memory_.limit())});
    samples.push_back({"relayed_requests_refused_total",
                       {},
                       static_cast<double>(relayed_memory_.refused())});
    for (const CallRefusal refusal : kAllCallRefusals) {
      samples.push_back(
          {"caller_calls_refused_total",
           {{"reason", std::string(CallRefusalName(refusal))}},
           static_cast<double>(service_->refused_calls(refusal))});
    }
    AppendClient("worker", orders_, descriptors_.orders, &samples);
    AppendClient("renewal", renewals_, descriptors_.renewals, &samples);
    const size_t jobs = queue_->Read(
        [](const QueueState& state) { return state.jobs().size(); });
    samples.push_back({"jobs", {}, static_cast<double>(jobs)});
    if (const Dispatcher* dispatcher = dispatch_->dispatcher()) {
      AppendDispatcher(*dispatcher, &samples);
    }
    return samples;
  }

  static void AppendClient(std::string_view prefix,
                           const AsyncHttpClient& client,
                           size_t limit,
                           std::vector<MetricSample>* samples) {
    const auto add = [prefix, samples](std::string_view name, uint64_t value) {
      samples->push_back({std::string(prefix) + std::string(name),
                          {},
                          static_cast<double>(value)});
    };
    add("_connections", client.open_connections());
    add("_connections_limit", limit);
    add("_calls_waiting", client.waiting_calls());
    add("_connections_opened_total", client.connections_opened());
  }

  static void AppendDispatcher(const Dispatcher& dispatcher,
                               std::vector<MetricSample>* samples) {
    const Dispatcher::Counters& counters = dispatcher.counters();
    const auto add = [samples](std::string name, uint64_t value) {
      samples->push_back({std::move(name), {}, static_cast<double>(value)});
    };
    add("dispatcher_workers", dispatcher.worker_count());
    add("dispatcher_ready_tasks", dispatcher.ready_task_count());
    samples->push_back(
        {"dispatcher_longest_wait_ms",
         {},
         static_cast<double>(dispatcher.longest_wait().count())});
    add("dispatcher_starts_total", counters.starts);
    add("dispatcher_starts_refused_total", counters.starts_refused);
    add("dispatcher_ends_done_total", counters.runs_completed);
    add("dispatcher_ends_failed_total", counters.runs_failed);
    add("dispatcher_ends_interrupted_total", counters.runs_interrupted);
    add("dispatcher_runs_lost_total", counters.runs_lost);
    add("dispatcher_looks_total", counters.lease_renewals);
    add("dispatcher_paces_total", counters.cpu_limit_orders);
    add("dispatcher_long_running_admitted_total",
        counters.long_running_admitted);
    add("dispatcher_long_running_rejected_total",
        counters.long_running_rejected);
    add("dispatcher_job_memory_rejected_total", counters.job_memory_rejected);
    add("dispatcher_occurrences_held_total", counters.occurrences_held);
    add("dispatcher_overlap_bytes", dispatcher.overlap_bytes());
    add("dispatcher_account_limits_reached_total",
        counters.account_limits_reached);
    uint64_t waiting_for_limit = 0;
    uint64_t waiting_for_share = 0;
    for (const AccountReport& report : dispatcher.AccountReports()) {
      waiting_for_limit += report.waiting_for_limit;
      waiting_for_share += report.waiting_for_share;
    }
    add("dispatcher_tasks_waiting_for_limit", waiting_for_limit);
    add("dispatcher_tasks_waiting_for_share", waiting_for_share);
  }

  const RoleSettings settings_;
  const DescriptorBudget descriptors_;
  const MemoryBudget memory_;
  RelayedMemory relayed_memory_;
  const std::shared_ptr<ConnectionMemory> connection_memory_;
  const PlatformHooks hooks_;
  const std::string own_name_;
  const std::unique_ptr<IoLoop> loop_;
  AsyncHttpClient orders_;
  AsyncHttpClient renewals_;
  std::unique_ptr<ControlNetwork> network_;
  std::unique_ptr<ReplicatedQueue> queue_;
  std::unique_ptr<DispatchLoop> dispatch_;
  std::unique_ptr<ControlService> service_;
  std::unique_ptr<LeaderRelay> relay_;
  std::unique_ptr<OrderConfirmation> confirmation_;
  std::unique_ptr<AsyncHttpServer> control_;
  std::unique_ptr<AsyncHttpServer> metrics_;
  HttpHandler handle_caller_;
  HttpHandler handle_control_;
  std::thread thread_;
};

}  // namespace

Result<std::unique_ptr<RoleInstance>> StartControlInstance(
    RoleSettings settings,
    PlatformHooks hooks) {
  const int64_t usable = UsableDescriptors(settings.maximum_descriptors);
  TRY(descriptors, DescriptorBudget::Create(usable));
  LogEvent(kDescriptorsDivided, {{"usable", usable},
                                 {"peers", descriptors.peers},
                                 {"server", descriptors.server},
                                 {"renewals", descriptors.renewals},
                                 {"orders", descriptors.orders}});
  TRY(memory, MemoryBudget::Create(settings.role,
                                   UsableMemoryMb(settings.maximum_memory_mb)));
  auto instance = std::make_unique<ControlInstance>(
      std::move(settings), descriptors, memory, std::move(hooks));
  TRY(instance->Start());
  return std::unique_ptr<RoleInstance>(std::move(instance));
}

}  // namespace bramleyrail
