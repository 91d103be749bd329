#include "packages/http/io_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace bramleyrail {

namespace {

namespace asio = boost::asio;

}  // namespace

// One thread runs the context, which spares its locks.
IoLoop::IoLoop() : context_(std::make_unique<asio::io_context>(1)) {}

IoLoop::~IoLoop() = default;

std::unique_ptr<IoLoop> IoLoop::Create() {
  return std::unique_ptr<IoLoop>(new IoLoop());
}

void IoLoop::Run() {
  const auto guard = asio::make_work_guard(*context_);
  context_->run();
}

void IoLoop::Stop() {
  context_->stop();
}

void IoLoop::Post(std::function<void()> function) {
  asio::post(*context_, std::move(function));
}

void IoLoop::RunAfter(Milliseconds delay, std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(*context_, delay);
  timer->async_wait([timer, function = std::move(function)](
                        const boost::system::error_code& error) {
    if (!error) {
      function();
    }
  });
}

}  // namespace bramleyrail
