#include "packages/caller/watch_relay.h"

#include <utility>

namespace bramleyrail {

namespace {

int64_t NowNanoseconds() {
  return ToNanoseconds(std::chrono::steady_clock::now());
}

WatchOpened FailedToOpen(RequestOutcome outcome, std::string message) {
  return {outcome, {}, std::move(message)};
}

enum class LineKind { kEvent, kHeartbeat, kInvalid };

LineKind KindOf(std::string_view line) {
  const Result<Json> json = ParseJson(line, JsonComments::kRefuse);
  if (!json.has_value() || !json.value().is_object()) {
    return LineKind::kInvalid;
  }
  if (json.value().contains("heartbeat")) {
    return LineKind::kHeartbeat;
  }
  const auto sequence = json.value().find("sequence");
  const bool numbered =
      sequence != json.value().end() && sequence->is_number_integer();
  return numbered ? LineKind::kEvent : LineKind::kInvalid;
}

}  // namespace

WatchRelay::WatchRelay(const Options& options)
    : options_(options), pool_({options_.maximum_watches, 0}) {}

void WatchRelay::Open(const WatchOpen& watch, Sink sink) {
  if (draining_.load()) {
    sink.opened(
        FailedToOpen(RequestOutcome::kNotSent, "the owner is about to stop"));
    return;
  }
  std::optional<CapacityCharge> charge = options_.table->AcquireTarget(
      watch.service, WorkKind::kWatch, watch.watch_id);
  if (!charge.has_value()) {
    sink.opened(FailedToOpen(RequestOutcome::kNoCapacity,
                             "no target of the owner has a free connection"));
    return;
  }
  // In a shared_ptr, since std::function requires a job that can be copied.
  auto shared_charge = std::make_shared<CapacityCharge>(std::move(*charge));
  const auto opened = sink.opened;
  const bool submitted =
      pool_.TrySubmit([this, watch, shared_charge, sink = std::move(sink)] {
        Run(watch, std::move(*shared_charge), sink);
      });
  if (!submitted) {
    opened(FailedToOpen(RequestOutcome::kNoCapacity,
                        "the owner has no free thread for a watch"));
  }
}

bool WatchRelay::ShouldEnd(const RelayedWatch& state) const {
  const auto silence = std::chrono::nanoseconds(
      NowNanoseconds() - state.last_keep_alive_ns.load());
  return draining_.load() || state.cancelled.load() ||
         silence >= kWatchIdleTimeout;
}

void WatchRelay::Run(const WatchOpen& watch,
                     CapacityCharge charge,
                     const Sink& sink) {
  const std::shared_ptr<TargetSession> session = charge.shared_session();
  auto state = std::make_shared<RelayedWatch>();
  state->last_keep_alive_ns.store(NowNanoseconds());
  {
    absl::MutexLock lock(&mutex_);
    watches_[watch.watch_id] = state;
  }
  int64_t position = 0;
  bool opened = false;
  std::string reason;
  TargetClient::WatchHooks hooks;
  hooks.on_open = [&](std::string_view target) {
    opened = true;
    sink.opened({RequestOutcome::kResponded, std::string(target), {}});
  };
  hooks.on_line = [&](std::string_view line) {
    const LineKind kind = KindOf(line);
    if (kind == LineKind::kInvalid) {
      reason =
          "the target sent a line that is neither an event with a "
          "sequence number nor a heartbeat";
      return false;
    }
    return sink.event(++position,
                      kind == LineKind::kEvent ? std::string(line) : "");
  };
  hooks.cancelled = [&] {
    // The session is closed when the target moves, leaves, expires or announces
    // a newer session.
    return ShouldEnd(*state) || session->closed();
  };
  const ForwardedResponse response =
      options_.client->Watch(std::move(charge), watch, hooks);
  {
    absl::MutexLock lock(&mutex_);
    watches_.erase(watch.watch_id);
  }
  if (!opened) {
    options_.local_executor->RecordOutcome(session.get(), response,
                                           Milliseconds(0));
    sink.opened(FailedToOpen(response.outcome, response.message));
    return;
  }
  if (session->closed()) {
    reason = "the session of the target ended: it moved, left or expired";
  }
  if (draining_.load()) {
    reason = "the owner is about to stop";
  }
  sink.end(++position, reason.empty() ? response.message : reason);
}

std::shared_ptr<WatchRelay::RelayedWatch> WatchRelay::Find(
    std::string_view watch_id) const {
  absl::MutexLock lock(&mutex_);
  const auto found =
      watches_.find(absl::string_view(watch_id.data(), watch_id.size()));
  return found == watches_.end() ? nullptr : found->second;
}

void WatchRelay::KeepAlive(std::string_view watch_id) {
  const std::shared_ptr<RelayedWatch> state = Find(watch_id);
  if (state != nullptr) {
    state->last_keep_alive_ns.store(NowNanoseconds());
  }
}

void WatchRelay::Cancel(std::string_view watch_id) {
  const std::shared_ptr<RelayedWatch> state = Find(watch_id);
  if (state != nullptr) {
    state->cancelled.store(true);
  }
}

void WatchRelay::Stop() {
  BeginDrain();
  pool_.Stop();
}

size_t WatchRelay::Active() const {
  absl::MutexLock lock(&mutex_);
  return watches_.size();
}

}  // namespace bramleyrail
