#ifndef PACKAGES_HTTP_IO_LOOP_H_
#define PACKAGES_HTTP_IO_LOOP_H_

#include <functional>
#include <memory>

#include "packages/base/base.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bramleyrail {

// One thread of asynchronous input and output. Handlers of servers, clients and
// timers run on the thread that calls Run() and must not block.
class IoLoop {
 public:
  static std::unique_ptr<IoLoop> Create();
  ~IoLoop();
  IoLoop(const IoLoop&) = delete;
  IoLoop& operator=(const IoLoop&) = delete;

  // Returns after Stop().
  void Run();
  // From any thread.
  void Stop();
  void Post(std::function<void()> function);
  // From any thread; the timer ends with the loop.
  void RunAfter(Milliseconds delay, std::function<void()> function);

  boost::asio::io_context& context() { return *context_; }

 private:
  IoLoop();

  const std::unique_ptr<boost::asio::io_context> context_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_IO_LOOP_H_
