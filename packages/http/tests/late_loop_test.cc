// A client on a loop that runs late: the deadlines of its calls pass while the
// loop is blocked, and servers on other threads go on.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "packages/http/http.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// More than the reactor takes from the kernel at a time.
constexpr int kManyCalls = 300;
constexpr Milliseconds kPatience{10'000};
constexpr Milliseconds kShortTimeout{100};
constexpr Milliseconds kDelayOfLoop{400};
constexpr Milliseconds kDelayOfServer{20};

// When the loop is blocked.
enum class Block {
  kAtOnce,       // Before it reads the responses.
  kWhileReading  // While it waits for the responses.
};

// A client that calls a server on another loop.
class LateClient {
 public:
  explicit LateClient(Milliseconds connect_timeout)
      : client_loop_(IoLoop::Create()),
        server_loop_(IoLoop::Create()),
        client_(client_loop_.get(),
                {.connections = {.maximum_connections_per_address = kManyCalls},
                 .connect_timeout = connect_timeout,
                 .maximum_waiting_calls_per_address = kManyCalls}) {
    server_ = AsyncHttpServer::Create(
                  server_loop_.get(), {.address = "127.0.0.1:0"},
                  [this](const HttpRequest& request, HttpResponder respond) {
                    Answer(request, std::move(respond));
                  })
                  .value();
    client_thread_ = std::thread([this] { client_loop_->Run(); });
    server_thread_ = std::thread([this] { server_loop_->Run(); });
  }
  ~LateClient() {
    client_loop_->Stop();
    server_loop_->Stop();
    client_thread_.join();
    server_thread_.join();
  }

  // Makes `count` calls at once, whose loop is blocked for `delay`, and returns
  // the number of responses.
  int Call(int count,
           Milliseconds timeout,
           Milliseconds delay,
           Block block = Block::kAtOnce) {
    absl::BlockingCounter open(count);
    int answered = 0;
    const std::string address = absl::StrCat("127.0.0.1:", server_->port());
    client_loop_->Post([&] {
      BlockLoop(Milliseconds(2));
      for (int call = 0; call < count; ++call) {
        client_.Call(address, {"POST", "/path", {}, body_}, timeout, nullptr,
                     [&](const Result<HttpResponse>& answer) {
                       answered += answer.has_value() ? 1 : 0;
                       last_ = answer;
                       open.DecrementCount();
                     });
      }
      if (block == Block::kAtOnce) {
        BlockLoop(delay);
      } else {
        client_loop_->Post([this, delay] { BlockLoop(delay); });
      }
    });
    open.Wait();
    return answered;
  }

  // The server answers with as many bytes as it gets.
  void set_body(std::string body) { body_ = std::move(body); }
  uint64_t connections_opened() const { return client_.connections_opened(); }
  int received() const { return received_; }
  const Result<HttpResponse>& last() const { return last_; }

 private:
  // A timer that expires first makes the loop look at all timers when it goes
  // on, before most of the sockets.
  void BlockLoop(Milliseconds delay) {
    client_loop_->RunAfter(Milliseconds(0), [] {});
    std::this_thread::sleep_for(delay);
  }

  void Answer(const HttpRequest& request, HttpResponder respond) {
    ++received_;
    server_loop_->RunAfter(kDelayOfServer,
                           [body = request.body, respond = std::move(respond)] {
                             respond({.body = body});
                           });
  }

  const std::unique_ptr<IoLoop> client_loop_;
  const std::unique_ptr<IoLoop> server_loop_;
  AsyncHttpClient client_;
  std::unique_ptr<AsyncHttpServer> server_;
  std::string body_ = "x";
  Result<HttpResponse> last_ = HttpResponse();
  std::atomic<int> received_ = 0;
  std::thread client_thread_;
  std::thread server_thread_;
};

// A server that sends a response a byte at a time, without an end.
class TricklingServer {
 public:
  TricklingServer() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener_, 8) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
            0) {
      perror("listen");
    }
    address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
    thread_ = std::thread([this] { Serve(); });
  }
  ~TricklingServer() {
    thread_.join();
    close(listener_);
  }

  const std::string& address() const { return address_; }

 private:
  // Ends when the client closes the connection.
  void Serve() const {
    constexpr std::string_view kHeader =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    constexpr Milliseconds kPause{5};
    const int connection = accept(listener_, nullptr, nullptr);
    ssize_t sent =
        send(connection, kHeader.data(), kHeader.size(), MSG_NOSIGNAL);
    while (sent > 0) {
      std::this_thread::sleep_for(kPause);
      sent = send(connection, "x", 1, MSG_NOSIGNAL);
    }
    close(connection);
  }

  const int listener_ = socket(AF_INET, SOCK_STREAM, 0);
  std::string address_;
  std::thread thread_;
};

TEST_GROUP(LateLoop){};

// Guards against a response that has arrived and is discarded with its
// connection, because the loop comes to it after the deadline.
TEST(LateLoop, ResponseThatArrivedBeforeTheLoopIsRead) {
  LateClient client(kPatience);
  LONGS_EQUAL(1, client.Call(1, kPatience, Milliseconds(0)));
  LONGS_EQUAL(1, client.Call(1, kShortTimeout, kDelayOfLoop));
  LONGS_EQUAL(1, client.Call(1, kPatience, Milliseconds(0)));
  LONGS_EQUAL(1, client.connections_opened());
}

// Guards against a deadline that discards the rest of a response after the loop
// has read the first part.
TEST(LateLoop, LongResponseThatArrivedBeforeTheLoopIsRead) {
  LateClient client(kPatience);
  LONGS_EQUAL(1, client.Call(1, kPatience, Milliseconds(0)));
  client.set_body(std::string(20'000, 'x'));
  LONGS_EQUAL(
      1, client.Call(1, kShortTimeout, kDelayOfLoop, Block::kWhileReading));
  LONGS_EQUAL(20'000, client.last().value().body.size());
  LONGS_EQUAL(1, client.Call(1, kPatience, Milliseconds(0)));
  LONGS_EQUAL(1, client.connections_opened());
}

// The reactor took a part of the sockets from the kernel, and the deadlines of
// the others then closed them with their responses.
TEST(LateLoop, ManyResponsesThatArrivedBeforeTheLoopAreRead) {
  LateClient client(kPatience);
  LONGS_EQUAL(kManyCalls, client.Call(kManyCalls, kPatience, Milliseconds(0)));
  LONGS_EQUAL(kManyCalls, client.Call(kManyCalls, kShortTimeout, kDelayOfLoop,
                                      Block::kWhileReading));
  LONGS_EQUAL(kManyCalls, client.Call(kManyCalls, kPatience, Milliseconds(0)));
  LONGS_EQUAL(kManyCalls, client.connections_opened());
}

// A connection that was established in time counted as failed.
TEST(LateLoop, ConnectionsEstablishedBeforeTheLoopAreUsed) {
  LateClient client(/*connect_timeout=*/kShortTimeout);
  LONGS_EQUAL(kManyCalls, client.Call(kManyCalls, kPatience, kDelayOfLoop));
  LONGS_EQUAL(kManyCalls, client.connections_opened());
}

// Guards against a request that is written after its deadline, and against a
// connection that is lost with it.
TEST(LateLoop, LateConnectionIsKeptAndItsCallIsNotSent) {
  LateClient client(kPatience);
  LONGS_EQUAL(0, client.Call(kManyCalls, kShortTimeout, kDelayOfLoop));
  CHECK(client.last().error().kind == ErrorKind::kUnavailable);
  LONGS_EQUAL(0, client.received());
  LONGS_EQUAL(kManyCalls, client.Call(kManyCalls, kPatience, Milliseconds(0)));
  LONGS_EQUAL(kManyCalls, client.connections_opened());
}

// Guards against a server that holds a call for ever with a few bytes at a
// time.
TEST(LateLoop, TricklingServerHoldsACallForALimitedTime) {
  const TricklingServer server;
  const auto loop = IoLoop::Create();
  AsyncHttpClient client(loop.get(), {});
  Result<HttpResponse> result = HttpResponse();
  loop->Post([&] {
    client.Call(server.address(), {"POST", "/path", {}, "x"}, kShortTimeout,
                nullptr, [&](Result<HttpResponse> answer) {
                  result = std::move(answer);
                  loop->Stop();
                });
  });
  const MonotonicTime begin = std::chrono::steady_clock::now();
  loop->Run();
  CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(2'000));
  CHECK(!result);
  CHECK(result.error().kind == ErrorKind::kOutcomeUnknown);
}

}  // namespace
}  // namespace bramleyrail
