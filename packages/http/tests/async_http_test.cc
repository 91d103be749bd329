#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "packages/http/http.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// A server and a client on one loop with a thread of its own.
class LoopWithServer {
 public:
  explicit LoopWithServer(HttpHandler handler)
      : loop_(IoLoop::Create()), client_(loop_.get(), {}) {
    server_ =
        AsyncHttpServer::Create(
            loop_.get(), {.address = "127.0.0.1:0", .maximum_body_bytes = 100},
            std::move(handler))
            .value();
    address_ = absl::StrCat("127.0.0.1:", server_->port());
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~LoopWithServer() {
    loop_->Stop();
    thread_.join();
  }

  Result<HttpResponse> Call(HttpRequest request,
                            Milliseconds timeout,
                            std::string address = "") {
    absl::Notification done;
    Result<HttpResponse> result = HttpResponse();
    loop_->Post([&] {
      client_.Call(address.empty() ? address_ : address, std::move(request),
                   timeout, [&](Result<HttpResponse> answer) {
                     result = std::move(answer);
                     done.Notify();
                   });
    });
    done.WaitForNotification();
    return result;
  }

  AsyncHttpClient& client() { return client_; }

 private:
  const std::unique_ptr<IoLoop> loop_;
  AsyncHttpClient client_;
  std::unique_ptr<AsyncHttpServer> server_;
  std::string address_;
  std::thread thread_;
};

HttpRequest Post(std::string body) {
  return {"POST", "/path", {}, std::move(body)};
}

TEST_GROUP(AsyncHttp){};

// Guards against a connection for each call.
TEST(AsyncHttp, CallsShareAConnection) {
  LoopWithServer loop(
      [](const HttpRequest& request, const HttpResponder& respond) {
        respond({.status = 201, .body = request.target + request.body});
      });
  for (int i = 0; i < 5; ++i) {
    const auto answer = loop.Call(Post("x"), Milliseconds(5'000));
    CHECK(answer.has_value());
    LONGS_EQUAL(201, answer.value().status);
    STRCMP_EQUAL("/pathx", answer.value().body.c_str());
  }
  LONGS_EQUAL(1, loop.client().connections_opened());
}

// Guards against "not sent" for a call that the server may have executed.
TEST(AsyncHttp, SilentServerLeavesTheOutcomeUnknown) {
  std::vector<HttpResponder> kept;
  LoopWithServer loop([&kept](const HttpRequest&, HttpResponder respond) {
    kept.push_back(std::move(respond));
  });
  const auto answer = loop.Call(Post("x"), Milliseconds(50));
  CHECK(!answer);
  CHECK(answer.error().kind == ErrorKind::kOutcomeUnknown);
}

TEST(AsyncHttp, RefusedConnectionIsTold) {
  LoopWithServer loop([](const HttpRequest&, const HttpResponder&) {});
  const auto answer = loop.Call(Post("x"), Milliseconds(5'000), "127.0.0.1:1");
  CHECK(!answer);
  CHECK(answer.error().kind == ErrorKind::kNotFound);
}

// Guards against memory that a large body takes.
TEST(AsyncHttp, LargeBodyIsRefused) {
  LoopWithServer loop(
      [](const HttpRequest&, const HttpResponder& respond) { respond({}); });
  const auto answer =
      loop.Call(Post(std::string(200, 'x')), Milliseconds(5'000));
  CHECK(answer.has_value());
  LONGS_EQUAL(413, answer.value().status);
}

}  // namespace
}  // namespace bramleyrail
