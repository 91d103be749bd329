#include "packages/bramleyctl/watch_cursor.h"

#include <string>

namespace bramleyrail {

namespace {

bool IsChange(const std::string& type) {
  return type == "created" || type == "changed" || type == "deleted" ||
         type == "status_changed";
}

Error NoWatchLine() {
  return MakeError(ErrorKind::kDataLoss,
                   "the server sent a line that is no line of a watch",
                   "check that --watch_servers names watch ports");
}

}  // namespace

void WatchCursor::StartStream() {
  to_skip_in_open_ = shown_in_open_;
}

Result<WatchCursor::Step> WatchCursor::Handle(const Json& line) {
  if (!line.is_object() || !line.contains("type") ||
      !line["type"].is_string()) {
    return NoWatchLine();
  }
  const auto type = line["type"].get<std::string>();
  if (type == "compacted") {
    return Step::kCompacted;
  }
  const auto revision = line.find("revision");
  if (revision == line.end() || !revision->is_number_integer()) {
    return NoWatchLine();
  }
  if (IsChange(type)) {
    return HandleChange(revision->get<int64_t>());
  }
  if (type == "heartbeat" || type == "end") {
    Complete(revision->get<int64_t>());
    return type == "end" ? Step::kResume : Step::kContinue;
  }
  // A newer server may send lines of other types.
  return Step::kContinue;
}

WatchCursor::Step WatchCursor::HandleChange(int64_t revision) {
  if (revision <= complete_revision_ || revision < open_revision_) {
    return Step::kContinue;
  }
  if (revision > open_revision_) {
    Complete(open_revision_);
    open_revision_ = revision;
    shown_in_open_ = 0;
    to_skip_in_open_ = 0;
  }
  if (to_skip_in_open_ > 0) {
    --to_skip_in_open_;
    return Step::kContinue;
  }
  ++shown_in_open_;
  return Step::kShow;
}

// A heartbeat of an instance that lags behind names an older revision, which
// must not move the place backwards.
void WatchCursor::Complete(int64_t revision) {
  if (revision <= complete_revision_) {
    return;
  }
  complete_revision_ = revision;
  if (open_revision_ <= revision) {
    open_revision_ = 0;
    shown_in_open_ = 0;
    to_skip_in_open_ = 0;
  }
}

}  // namespace bramleyrail
