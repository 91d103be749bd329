#include <httplib.h>

#include <string>
#include <thread>

#include "packages/http/http.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(ExclusivePort){};

// Guards against a second process that shares the port of the first one.
TEST(ExclusivePort, ASecondServerCannotBindThePort) {
  httplib::Server first;
  RequireExclusivePort(&first);
  const int port = first.bind_to_any_port("127.0.0.1");
  CHECK(port > 0);
  std::thread thread([&first] { first.listen_after_bind(); });
  while (!first.is_running()) {
    std::this_thread::yield();
  }
  httplib::Server second;
  RequireExclusivePort(&second);
  CHECK_FALSE(second.bind_to_port("127.0.0.1", port));
  first.stop();
  thread.join();
}

}  // namespace
}  // namespace bramleyrail
