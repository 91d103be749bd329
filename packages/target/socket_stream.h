#ifndef PACKAGES_TARGET_SOCKET_STREAM_H_
#define PACKAGES_TARGET_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>

#include "packages/base/base.h"

namespace bramleyrail {

// A buffered stream over a connected socket with a limit on silence, a limit
// on the whole exchange, and a count of the bytes written. cpp-httplib's own
// stream bounds single reads only, so a slow sender could exceed any deadline.
// Owns the socket.
class SocketStream : public httplib::Stream {
 public:
  // Connects to a numeric address. kUnavailable: certainly nothing was sent.
  static Result<std::unique_ptr<SocketStream>> Connect(const std::string& host,
                                                       int port,
                                                       Milliseconds timeout);

  explicit SocketStream(int socket) : socket_(socket) {}
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Reads and writes fail after `silence` without progress, or after
  // `deadline`.
  void SetLimits(Milliseconds silence, MonotonicTime deadline);

  // Polled while waiting; when it returns true, the read or write fails.
  void SetCancelled(std::function<bool()> cancelled);

  // Waits for data; false on timeout, when the peer has closed, or when
  // `give_up` (polled every 20 ms) returns true.
  bool WaitForData(Milliseconds timeout, const std::function<bool()>& give_up);

  // True when the peer has neither closed the connection nor sent data that
  // nobody asked for.
  bool IsQuiet() const;

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

  bool WaitFor(Direction direction);

  const int socket_;
  Milliseconds silence_{5'000};
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
