#ifndef PACKAGES_TARGET_SOCKET_STREAM_H_
#define PACKAGES_TARGET_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>

#include "packages/base/base.h"

namespace bramleyrail {

// A buffered stream over a connected socket, which it owns. It has a timeout
// for reads and writes without progress, a deadline for the whole exchange, and
// counts the bytes written. cpp-httplib's own stream limits only single reads,
// so a slow sender could exceed any deadline.
class SocketStream : public httplib::Stream {
 public:
  // Connects to a numeric address. kUnavailable when this fails; nothing has
  // been sent then.
  static Result<std::unique_ptr<SocketStream>> Connect(const std::string& host,
                                                       int port,
                                                       Milliseconds timeout);

  explicit SocketStream(int socket) : socket_(socket) {}
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Makes reads and writes fail after `progress_timeout` without progress, or
  // once `deadline` has passed.
  void SetTimeouts(Milliseconds progress_timeout, MonotonicTime deadline);

  // Sets a callback that is polled while a read or write waits. When it returns
  // true, the read or write fails.
  void SetCancellationCallback(std::function<bool()> cancelled);

  // Waits until the socket is readable. Returns false on timeout, on failure,
  // or when `should_stop` (polled every 20 ms) returns true.
  bool WaitForData(Milliseconds timeout,
                   const std::function<bool()>& should_stop);

  // Returns true if the peer has neither closed the connection nor sent data
  // that belongs to no request.
  bool IsReusable() const;

  size_t bytes_written() const { return bytes_written_; }
  bool timed_out() const { return timed_out_; }

  // httplib::Stream.
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& address, int& port) const override;
  void get_local_ip_and_port(std::string& address, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  enum class Direction { kRead, kWrite };

  bool WaitUntilReady(Direction direction);

  const int socket_;
  Milliseconds progress_timeout_{5'000};
  MonotonicTime deadline_ = MonotonicTime::max();
  std::function<bool()> cancelled_;
  size_t bytes_written_ = 0;
  bool timed_out_ = false;
  std::array<char, 4096> buffer_{};
  size_t buffer_begin_ = 0;
  size_t buffer_end_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_TARGET_SOCKET_STREAM_H_
