#ifndef PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_
#define PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "packages/http/http_connection_pool.h"
#include "packages/http/http_message.h"
#include "packages/http/io_loop.h"

namespace boost::system {
class error_code;
}  // namespace boost::system

namespace bramleyrail {

// Calls HTTP/1.1 servers on an IoLoop over a bounded number of connections,
// which are kept for later calls. A call waits while the bounds allow no
// connection. All calls from the thread of the loop.
class AsyncHttpClient {
 public:
  struct Options {
    HttpConnectionPool::Options connections;
    Milliseconds connect_timeout{1'000};
    // Further calls to an address are refused.
    size_t maximum_waiting_calls_per_address = 256;
  };
  using Callback = std::function<void(Result<HttpResponse>)>;
  // Whether the caller may still send the request.
  using SendCheck = std::function<bool()>;

  AsyncHttpClient(IoLoop* loop, Options options);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  // Whether Call() can be given the address: an IP address and a port.
  static Result<void> ValidateAddress(std::string_view address);

  // Calls `address` ("10.0.0.1:8080"). `may_send` runs just before the request
  // is written, which may be long after Call(). The callback runs once, never
  // inside Call(), after `timeout` or when the loop comes to it: a response
  // that has arrived by then counts. kUnavailable when the request was not
  // sent, kNotFound when moreover the connection was refused, kOutcomeUnknown
  // when it may have been executed. A request is written at most once: when its
  // connection ends without a response, the caller decides what to do. A kept
  // connection that is known to be closed is replaced before that.
  void Call(const std::string& address,
            HttpRequest request,
            Milliseconds timeout,
            SendCheck may_send,
            Callback callback);

  // Closes idle connections to an address that is no longer used.
  void Forget(const std::string& address);

  uint64_t connections_opened() const { return connections_opened_; }
  size_t open_connections() const { return pool_.size(); }
  size_t waiting_calls() const { return waiting_calls_; }

 private:
  class Connection;
  struct PendingCall;
  using PendingCallPointer = std::shared_ptr<PendingCall>;
  using Handler = std::function<void(const boost::system::error_code&)>;

  // Returns false when the bounds allow no connection.
  bool Begin(const PendingCallPointer& call);
  void Connect(const PendingCallPointer& call);
  void HandleConnected(const PendingCallPointer& call,
                       boost::system::error_code error);
  void Exchange(const PendingCallPointer& call);
  void Write(const PendingCallPointer& call);
  void AwaitResponse(const PendingCallPointer& call);
  void SetDeadline(const PendingCallPointer& call, Milliseconds delay);
  void HandleDeadline(const PendingCallPointer& call);
  // Returns a handler that does nothing after the call has left the connection
  // that it uses now.
  Handler WhileInUse(const PendingCallPointer& call, Handler handler);
  void HandleExchanged(const PendingCallPointer& call,
                       const boost::system::error_code& error);
  // Ends the use of the call's connection and reports the result.
  void Finish(const PendingCallPointer& call,
              bool reusable,
              Result<HttpResponse> result);
  // Reports the failure of a call without a connection.
  void Fail(const PendingCallPointer& call,
            ErrorKind kind,
            std::string_view reason);
  static Error CallError(const PendingCall& call,
                         ErrorKind kind,
                         std::string_view reason);
  void LogFailure(const PendingCall& call, const Error& error);
  void CloseRemoved();

  void Wait(const PendingCallPointer& call);
  // Returns false when the call does not wait.
  bool StopWaiting(const PendingCallPointer& call);
  // Begins waiting calls as far as the bounds allow, first one to the address.
  void BeginWaiting(const std::string& address);
  void BeginNext(const std::string& address);

  IoLoop* const loop_;
  const Options options_;
  // Expires with the client; pending operations check it.
  std::shared_ptr<bool> alive_;
  HttpConnectionPool pool_;
  std::map<HttpConnectionPool::Number, std::shared_ptr<Connection>>
      connections_;
  // Calls without a connection, by address, and the addresses in the order of
  // their calls. An address stands there once for each call that had to wait.
  std::map<std::string, std::deque<PendingCallPointer>> waiting_;
  std::deque<std::string> waiting_addresses_;
  size_t waiting_calls_ = 0;
  uint64_t connections_opened_ = 0;
  LogRateLimit failure_lines_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_ASYNC_HTTP_CLIENT_H_
