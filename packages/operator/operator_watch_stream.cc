#include "packages/operator/operator_watch_stream.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "packages/operator/http_answer.h"
#include "packages/operator/resource_status.h"

namespace bramleyrail {

namespace {

// How long a planned stop may go unnoticed.
constexpr Milliseconds kMaximumWait{100};
// Time to collect changes. Commands without a watched change, such as claims,
// raise the revision as well, and would wake each watch thousands of times a
// second.
constexpr Milliseconds kCollectTime{10};
// Changes read under one reader lock.
constexpr size_t kChangesOfOneRead = 200;

std::string Line(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json ChangeToJson(const ClusterState& state, const ResourceChange& change) {
  Json json = {{"type", ChangeTypeName(change.type)},
               {"revision", change.revision}};
  json["resource"] = change.type == ChangeType::kDeleted
                         ? ResourceToJson(change.resource)
                         : ResourceWithStatus(state, change.resource);
  return json;
}

}  // namespace

OperatorWatchStream::OperatorWatchStream(
    std::shared_ptr<const OperatorServerOptions> options,
    const std::atomic<bool>* draining,
    int64_t after_revision,
    std::set<ResourceKind> kinds)
    : options_(std::move(options)),
      draining_(draining),
      kinds_(std::move(kinds)),
      revision_(after_revision),
      last_heartbeat_time_(std::chrono::steady_clock::now()) {}

OperatorWatchStream::Next OperatorWatchStream::Step(const Write& write) {
  if (!draining_->load()) {
    options_->state.wait_for_revision(
        revision_, std::min(kMaximumWait, options_->watch_heartbeat));
    std::this_thread::sleep_for(kCollectTime);
  }
  const Result<std::string> lines = NextLines();
  if (!lines) {
    int64_t oldest = 0;
    options_->state.read([&oldest](const ClusterState& state) {
      oldest = state.oldest_watch_revision();
    });
    write(Line({{"type", "compacted"},
                {"oldest_revision", oldest},
                {"error", ErrorToJson(lines.error())}}));
    return Next::kEnd;
  }
  if (!lines.value().empty() && !write(lines.value())) {
    return Next::kEnd;
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  if (draining_->load()) {
    write(Line({{"type", "end"},
                {"revision", revision_},
                {"reason", "this instance stops; watch at another one"}}));
    return Next::kEnd;
  }
  // Also after other lines, as only a heartbeat tells where to resume.
  if (now - last_heartbeat_time_ >= options_->watch_heartbeat) {
    last_heartbeat_time_ = now;
    return write(Heartbeat()) ? Next::kContinue : Next::kEnd;
  }
  return Next::kContinue;
}

Result<std::string> OperatorWatchStream::NextLines() {
  Result<std::string> lines = std::string();
  options_->state.read([&](const ClusterState& state) {
    const Result<std::vector<ResourceChange>> changes =
        state.ChangesAfter(revision_, kChangesOfOneRead);
    if (!changes) {
      lines = changes.error();
      return;
    }
    for (const ResourceChange& change : changes.value()) {
      if (kinds_.empty() || kinds_.contains(change.resource.Kind())) {
        lines.value() += Line(ChangeToJson(state, change));
      }
    }
    if (changes.value().size() >= kChangesOfOneRead) {
      revision_ = changes.value().back().revision;
    } else {
      // A revision from another instance may be ahead of this one.
      revision_ = std::max(revision_, state.revision());
    }
  });
  return lines;
}

std::string OperatorWatchStream::Heartbeat() const {
  Json json = {{"type", "heartbeat"}, {"revision", revision_}};
  const std::optional<Milliseconds> age = options_->state.state_age();
  json["state_age_ms"] = age ? Json(age->count()) : Json();
  return Line(json);
}

}  // namespace bramleyrail
