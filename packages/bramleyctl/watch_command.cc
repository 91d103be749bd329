#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "packages/bramleyctl/commands.h"
#include "packages/bramleyctl/table.h"
#include "packages/bramleyctl/watch_cursor.h"
#include "packages/bramleyctl/watch_subscription.h"

namespace bramleyrail {

namespace {

// Pause after no server had anything to tell.
constexpr Milliseconds kPauseBetweenRounds{500};

void ShowChange(CommandContext& context, const Json& line) {
  if (context.format == OutputFormat::kJson) {
    context.out << line.dump() << std::endl;
    return;
  }
  const Json& resource = line.at("resource");
  const Json status = resource.value("status", Json::object());
  context.out << absl::StrFormat("%10d  %-14s  %s/%s  %s  %s",
                                 line.at("revision").get<int64_t>(),
                                 CellText(line.at("type")),
                                 CellText(resource.at("kind")),
                                 CellText(resource.at("name")),
                                 CellText(status.value("state", Json())),
                                 CellText(status.value("reason", Json())))
              << std::endl;
}

// Shows every resource as it is; returns the revision to watch from, which is
// that of the first list, since later ones may be newer.
Result<int64_t> ShowLists(CommandContext& context,
                          const std::vector<std::string>& kinds) {
  int64_t revision = INT64_MAX;
  for (const std::string& kind : kinds) {
    TRY(list, ListAll(context.client, kind));
    revision = std::min(revision, list.at("revision").get<int64_t>());
    for (const Json& resource : list.at("resources")) {
      ShowChange(context, {{"type", "listed"},
                           {"revision", list["revision"]},
                           {"resource", resource}});
    }
  }
  return revision;
}

Result<int64_t> StartRevision(CommandContext& context,
                              const std::vector<std::string>& kinds) {
  if (context.options.after_revision.has_value()) {
    return *context.options.after_revision;
  }
  // A revision is fixed before the first stream, so that no change is missed
  // when that stream is lost before its first line.
  TRY(page, context.client.Get(
                absl::StrCat("/v1/resources/", kinds.front(), "?limit=1")));
  return page.at("revision").get<int64_t>();
}

enum class StreamEnd { kStopped, kResume, kCompacted };

struct StreamOutcome {
  StreamEnd end = StreamEnd::kResume;
  bool received = false;  // At least one line came.
};

Result<StreamOutcome> ReadStream(CommandContext& context,
                                 const ServerAddress& server,
                                 const std::string& kinds,
                                 WatchCursor* cursor) {
  StreamOutcome outcome;
  std::optional<Error> fault;
  cursor->StartStream();
  const Result<void> read = WatchSubscription::Read(
      server,
      absl::StrCat("/v1/watch?after_revision=", cursor->resume_revision(),
                   "&kind=", kinds),
      [&](const Json& line) {
        outcome.received = true;
        const Result<WatchCursor::Step> step = cursor->Handle(line);
        if (step.has_error()) {
          fault = step.error();
          return false;
        }
        switch (step.value()) {
          case WatchCursor::Step::kShow:
            ShowChange(context, line);
            // The reader of the output has gone away.
            if (!context.out.good()) {
              outcome.end = StreamEnd::kStopped;
              return false;
            }
            return true;
          case WatchCursor::Step::kContinue:
            return true;
          case WatchCursor::Step::kResume:
            outcome.end = StreamEnd::kResume;
            return false;
          case WatchCursor::Step::kCompacted:
            outcome.end = StreamEnd::kCompacted;
            return false;
        }
        return false;
      });
  if (fault.has_value()) {
    return *fault;
  }
  if (read.has_value()) {
    return outcome;
  }
  outcome.end = read.error().kind == ErrorKind::kCompacted
                    ? StreamEnd::kCompacted
                    : StreamEnd::kResume;
  const bool is_final = read.error().kind == ErrorKind::kInvalidArgument ||
                        read.error().kind == ErrorKind::kNotFound;
  if (is_final) {
    return read.error();
  }
  context.messages << "watch of " << ToString(server)
                   << " ended: " << read.error().ToString()
                   << "; resuming after revision " << cursor->resume_revision()
                   << "\n";
  return outcome;
}

}  // namespace

Result<void> Watch(CommandContext& context) {
  TRY(kinds, ReadKinds(context.options.kinds));
  TRY(start, StartRevision(context, kinds));
  const std::string kind_list = absl::StrJoin(kinds, ",");
  WatchCursor cursor(start);
  const MonotonicTime give_up =
      std::chrono::steady_clock::now() + context.options.time_limit;
  bool ever_received = false;
  while (true) {
    bool received = false;
    for (const ServerAddress& server : context.watch_servers) {
      TRY(outcome, ReadStream(context, server, kind_list, &cursor));
      received = received || outcome.received;
      if (outcome.end == StreamEnd::kStopped) {
        return Success();
      }
      if (outcome.end == StreamEnd::kCompacted) {
        context.messages << "the history no longer reaches revision "
                         << cursor.resume_revision()
                         << "; listing all resources\n";
        TRY(revision, ShowLists(context, kinds));
        cursor = WatchCursor(revision);
      }
    }
    ever_received = ever_received || received;
    if (received) {
      continue;
    }
    if (!ever_received && std::chrono::steady_clock::now() >= give_up) {
      return MakeError(ErrorKind::kUnavailable, "no server opened a watch",
                       "check --watch_servers and run the command again");
    }
    std::this_thread::sleep_for(kPauseBetweenRounds);
  }
}

}  // namespace bramleyrail
