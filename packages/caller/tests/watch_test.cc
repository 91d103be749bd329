#include <thread>

#include "packages/caller/caller.h"
#include "packages/caller/fakes/test_cluster.h"

// Redefines `new`, so it must be included last.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// A caller that reads one watch on its own thread.
class Watcher {
 public:
  Watcher(int port, const std::string& last_event_id)
      : thread_([this, port, last_event_id] { Run(port, last_event_id); }) {}
  ~Watcher() { Join(); }
  Watcher(const Watcher&) = delete;
  Watcher& operator=(const Watcher&) = delete;

  void Join() {
    closing_.store(true);
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  std::vector<Json> Lines() const {
    absl::MutexLock lock(&mutex_);
    std::vector<Json> lines;
    const std::string_view text = text_;
    size_t begin = 0;
    for (size_t end = text_.find('\n'); end != std::string::npos;
         end = text_.find('\n', begin)) {
      lines.push_back(
          ParseJson(text.substr(begin, end - begin), JsonComments::kRefuse)
              .value());
      begin = end + 1;
    }
    return lines;
  }

  size_t CountOf(const std::string& field) const {
    size_t count = 0;
    for (const Json& line : Lines()) {
      count += line.contains(field) ? 1 : 0;
    }
    return count;
  }

  // Returns the sequence numbers of the events that were received.
  std::vector<int64_t> Sequences() const {
    std::vector<int64_t> sequences;
    for (const Json& line : Lines()) {
      if (line.contains("data")) {
        sequences.push_back(line["sequence"]);
      }
    }
    return sequences;
  }

 private:
  void Run(int port, const std::string& last_event_id) {
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(30);
    httplib::Headers headers;
    if (!last_event_id.empty()) {
      headers.emplace(kLastEventIdHeader, last_event_id);
    }
    client.Get("/v1/services/echo/watch", headers,
               [this](const char* data, size_t size) {
                 absl::MutexLock lock(&mutex_);
                 text_.append(data, size);
                 return !closing_.load();
               });
  }

  mutable absl::Mutex mutex_;
  std::string text_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> closing_{false};
  std::thread thread_;
};

void CheckContiguous(const std::vector<int64_t>& sequences) {
  for (size_t i = 1; i < sequences.size(); ++i) {
    LONGS_EQUAL(sequences[i - 1] + 1, sequences[i]);
  }
}

TEST_GROUP(Watch){};

// Events could be lost, repeated or reordered: in a watch through the owner or
// through a second instance, and when a caller resumes a watch.
TEST(Watch, EventsArriveInOrderAndResumeWithoutAGap) {
  TestCluster cluster(2);
  StandInTarget* target =
      cluster.AddTarget({.event_interval = Milliseconds(20)}, {0});
  for (const size_t entry : {size_t{0}, size_t{1}}) {
    const int port = cluster.request_service(entry).watch_port();
    Watcher first(port, "");
    CHECK(WaitUntil([&first] { return first.Sequences().size() >= 5; }));
    first.Join();
    const std::vector<int64_t> seen = first.Sequences();
    CheckContiguous(seen);
    Watcher second(port, std::to_string(seen.back()));
    CHECK(WaitUntil([&second] { return second.Sequences().size() >= 5; }));
    LONGS_EQUAL(seen.back() + 1, second.Sequences().front());
    CheckContiguous(second.Sequences());
  }
  CHECK(target->peak_requests() == 0);
}

// Without heartbeats a caller cannot distinguish a watch without events from a
// broken connection. A steady flow of events must not suppress them.
TEST(Watch, HeartbeatsComeWithoutAndWithEvents) {
  TestCluster cluster(2);
  cluster.AddTarget({.event_interval = Milliseconds(20)}, {0});
  Watcher watcher(cluster.request_service(1).watch_port(), "");
  CHECK(WaitUntil([&watcher] { return watcher.CountOf("heartbeat") >= 2; }));
}

// When the owner stops, the caller of a watch must receive a final line with
// the reason and not just lose its connection.
TEST(Watch, AStoppingInstanceSendsALastEvent) {
  TestCluster cluster(2);
  cluster.AddTarget({.event_interval = Milliseconds(20)}, {0});
  Watcher watcher(cluster.request_service(1).watch_port(), "");
  CHECK(WaitUntil([&] { return watcher.Sequences().size() >= 2; }));
  cluster.request_service(0).BeginDrain();  // The owner.
  CHECK(WaitUntil([&] { return watcher.CountOf("end") == 1; }));
  CHECK(watcher.Lines().back().contains("end"));
}

TEST(Watch, WithoutATargetTheRefusalIsNotRun) {
  TestCluster cluster(1);
  httplib::Client client("127.0.0.1", cluster.request_service(0).watch_port());
  const httplib::Result refused = client.Get("/v1/services/echo/watch");
  LONGS_EQUAL(503, refused->status);
  CHECK(refused->body.find("\"not_run\":true") != std::string::npos);
}

TEST_GROUP(WatchStream){};

// After an event was lost between instances, the stream must end and not
// continue with a gap.
TEST(WatchStream, AGapEndsTheStream) {
  WatchStream stream;
  stream.Add(1, "a");
  stream.Add(3, "c");
  stream.Add(4, "d");
  STRCMP_EQUAL("a", stream.Take(Milliseconds(0))->text.c_str());
  CHECK(stream.Take(Milliseconds(0))->is_end);
}

}  // namespace
}  // namespace bramleyrail
