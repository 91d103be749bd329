// Clients at the published limits, and those that do not keep them.

#include <memory>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "packages/http/fakes/raw_client.h"
#include "packages/http/http.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// The published limits of callers.
constexpr size_t kHeaderBytes = 16'384;
constexpr size_t kBodyBytes = 262'144;
// The largest heartbeat of a worker.
constexpr size_t kHeartbeatBytes = size_t{4} * 1024 * 1024;
// The smallest share that a settings file can lead to.
constexpr size_t kSmallestShare = size_t{19} * 1000 * 1000;

constexpr Milliseconds kWaitStep{1};
constexpr int kWaitSteps = 30'000;

// A server that answers with the size of the body and the number of headers.
class LimitedServer {
 public:
  explicit LimitedServer(AsyncHttpServer::Options options = {},
                         HttpHandler handler = CountBytes)
      : loop_(IoLoop::Create()), memory_(options.memory) {
    if (memory_ == nullptr) {
      memory_ = std::make_shared<ConnectionMemory>(kSmallestShare);
    }
    options.address = "127.0.0.1:0";
    options.memory = memory_;
    server_ = AsyncHttpServer::Create(loop_.get(), std::move(options),
                                      std::move(handler))
                  .value();
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~LimitedServer() {
    loop_->Stop();
    thread_.join();
  }

  static void CountBytes(const HttpRequest& request,
                         const HttpResponder& respond) {
    respond({.body = absl::StrCat(request.body.size(), " ",
                                  request.headers.size())});
  }

  std::unique_ptr<RawClient> Connect(int receive_buffer = 0) const {
    return std::make_unique<RawClient>("127.0.0.1", server_->port(),
                                       receive_buffer);
  }

  template <typename T>
  T OnLoop(std::function<T()> read) {
    absl::Notification done;
    T result{};
    loop_->Post([&] {
      result = read();
      done.Notify();
    });
    done.WaitForNotification();
    return result;
  }
  uint64_t Count(HttpLimit limit) {
    return OnLoop<uint64_t>([&] { return memory_->report().count(limit); });
  }
  size_t Used() {
    return OnLoop<size_t>([&] { return memory_->used(); });
  }
  bool WaitFor(const std::function<bool()>& condition) {
    for (int step = 0; step < kWaitSteps; ++step) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(kWaitStep);
    }
    return false;
  }

 private:
  const std::unique_ptr<IoLoop> loop_;
  std::shared_ptr<ConnectionMemory> memory_;
  std::unique_ptr<AsyncHttpServer> server_;
  std::thread thread_;
};

std::string WithBody(size_t size) {
  return absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ", size,
                      "\r\n\r\n", std::string(size, 'x'));
}

constexpr char kChunked[] =
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_GROUP(ClientLimits){};

// Guards against a limit that a client inside the published ones meets.
TEST(ClientLimits, RequestsAtThePublishedLimitsAreServed) {
  LimitedServer server;
  const std::string start = "GET /a HTTP/1.1\r\nHost: a\r\nX-Long: ";
  const std::string end = "\r\n\r\n";
  std::string many = "GET /a HTTP/1.1\r\nHost: a\r\n";
  while (many.size() + 6 <= kHeaderBytes) {
    many += "a:\r\n";
  }
  for (const std::string& request :
       {start + std::string(kHeaderBytes - start.size() - end.size(), 'x') +
            end,
        many + "\r\n", WithBody(kBodyBytes), WithBody(kHeartbeatBytes)}) {
    const auto client = server.Connect();
    CHECK(client->Send(request));
    LONGS_EQUAL(200, client->ReadStatus());
  }
}

// Guards against trailers and chunk extensions of ordinary size that are
// refused, and against trailers that are taken for headers.
TEST(ClientLimits, ChunkedBodyWithTrailersIsServed) {
  LimitedServer server;
  const auto client = server.Connect();
  CHECK(client->Send(absl::StrCat(kChunked,
                                  "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\n"
                                  "X-Sum: 1\r\n\r\n")));
  const std::string response = client->Read(1'024);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with("\r\n\r\n5 2"));
}

// Guards against parts of a message without a length of their own that the
// process keeps: it ran out of memory.
TEST(ClientLimits, EndlessPartsAreRefused) {
  LimitedServer server;
  const auto trailers = server.Connect();
  CHECK(trailers->Send(absl::StrCat(kChunked, "0\r\n")));
  (void)trailers->SendRepeated("X-Trailer: 0123456789abcdef\r\n", 17'000);
  LONGS_EQUAL(431, trailers->ReadStatus());
  const auto extension = server.Connect();
  CHECK(extension->Send(absl::StrCat(kChunked, "2")));
  (void)extension->SendRepeated(";name=0123456789abcdef", 17'000);
  LONGS_EQUAL(431, extension->ReadStatus());
  LONGS_EQUAL(2, server.Count(HttpLimit::kChunkFraming));
}

// Guards against a client that holds a connection and memory by sending very
// slowly: only bytes that never came were timed, not the message.
TEST(ClientLimits, SlowMessagesAreClosed) {
  AsyncHttpServer::Options options;
  options.header_timeout = Milliseconds(50);
  options.body_timeout = Milliseconds(50);
  LimitedServer server(options);
  const auto header = server.Connect();
  const auto body = server.Connect();
  CHECK(body->Send(
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"));
  CHECK(server.WaitFor([&] {
    (void)header->Send("G");
    (void)body->Send("x");
    return server.Count(HttpLimit::kHeaderTime) == 1 &&
           server.Count(HttpLimit::kBodyTime) == 1;
  }));
}

// Guards against large messages that take the memory of ordinary requests, and
// against a client that goes on sending and loses its connection to one that is
// silent.
TEST(ClientLimits, LongestSilentClientGivesWay) {
  constexpr size_t kLargeBytes = kHeartbeatBytes / 4 * 3;
  LimitedServer server;
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int client = 0; client < 12; ++client) {
    silent.push_back(server.Connect());
    CHECK(
        silent.back()->Send(WithBody(kLargeBytes).substr(0, kLargeBytes / 2)));
  }
  CHECK(server.WaitFor(
      [&] { return server.Count(HttpLimit::kMemory) >= 12 - 6; }));
  CHECK(server.Used() <= kSmallestShare);
  const auto ordinary = server.Connect();
  CHECK(ordinary->Send(WithBody(1'000)));
  LONGS_EQUAL(200, ordinary->ReadStatus());
  const auto large = server.Connect();
  CHECK(large->Send(WithBody(kHeartbeatBytes)));
  LONGS_EQUAL(200, large->ReadStatus());
  // The first ones were closed without a response.
  LONGS_EQUAL(0, silent.front()->ReadStatus());
}

// Guards against requests in progress that are dropped to make room, and
// against a refusal that leaves open whether the request ran.
TEST(ClientLimits, RequestsInProgressKeepTheirMemory) {
  std::vector<HttpResponder> held;
  LimitedServer server(
      {}, [&](const HttpRequest& request, const HttpResponder& respond) {
        if (request.target == "/a") {
          held.push_back(respond);
          return;
        }
        respond({});
      });
  const auto first = server.Connect();
  CHECK(first->Send(WithBody(kHeartbeatBytes)));
  CHECK(server.WaitFor(
      [&] { return server.OnLoop<size_t>([&] { return held.size(); }) == 1; }));
  const auto second = server.Connect();
  (void)second->Send(WithBody(kHeartbeatBytes));
  LONGS_EQUAL(503, second->ReadStatus());
  const auto ordinary = server.Connect();
  CHECK(ordinary->Send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n"));
  LONGS_EQUAL(200, ordinary->ReadStatus());
  const size_t answered = server.OnLoop<size_t>([&] {
    const size_t count = held.size();
    held.front()({});
    held.clear();
    return count;
  });
  LONGS_EQUAL(1, answered);
  LONGS_EQUAL(200, first->ReadStatus());
}

// Guards against responses that nobody reads and the process keeps.
TEST(ClientLimits, UnreadResponsesGiveWay) {
  constexpr size_t kResponseBytes = size_t{12} * 1000 * 1000;
  LimitedServer server(
      {}, [](const HttpRequest& request, const HttpResponder& respond) {
        respond({.body = std::string(
                     request.target == "/large" ? kResponseBytes : 2, 'x')});
      });
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int client = 0; client < 6; ++client) {
    crowd.push_back(server.Connect(4'096));
    CHECK(crowd.back()->Send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n"));
  }
  CHECK(server.WaitFor([&] { return server.Count(HttpLimit::kMemory) >= 5; }));
  CHECK(server.Used() <= kSmallestShare);
  const auto ordinary = server.Connect();
  CHECK(ordinary->Send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n"));
  LONGS_EQUAL(200, ordinary->ReadStatus());
}

// Guards against requests sent ahead that are lost or answered out of order,
// and against what is read of them and not counted.
TEST(ClientLimits, RequestsSentAheadAreAnsweredInTurn) {
  std::vector<HttpResponder> held;
  LimitedServer server({},
                       [&](const HttpRequest&, const HttpResponder& respond) {
                         held.push_back(respond);
                       });
  const auto client = server.Connect();
  constexpr size_t kRequests = 500;
  std::string requests;
  for (size_t request = 0; request < kRequests; ++request) {
    absl::StrAppend(&requests, "GET /", request,
                    " HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  CHECK(client->Send(requests));
  for (size_t request = 0; request < kRequests; ++request) {
    CHECK(server.WaitFor([&] {
      return server.OnLoop<size_t>([&] { return held.size(); }) == request + 1;
    }));
    server.OnLoop<int>([&] {
      held.back()({});
      return 0;
    });
  }
  LONGS_EQUAL(200, client->ReadStatus());
  LONGS_EQUAL(0, server.Count(HttpLimit::kMemory));
  server.OnLoop<int>([&] {
    held.clear();
    return 0;
  });
}

}  // namespace
}  // namespace bramleyrail
