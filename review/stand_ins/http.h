#ifndef REVIEW_STAND_INS_HTTP_H_
#define REVIEW_STAND_INS_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "record.h"

namespace review {

// Header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;  // 0: none came.
  std::string body;
  std::string error;  // Why none came.
};

// Sends one request on a connection of its own and waits for the response.
// `address` is "IP:port". The connection is closed at the end, also without a
// response.
HttpResponse Call(const std::string& address,
                  const std::string& method,
                  const std::string& target,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  Milliseconds timeout);

// An HTTP/1.1 server with a thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(std::string ip, int port, Handler handler);
  ~HttpServer();

  // Closes the listening socket and all connections, as the end of a process
  // does. Waits for the handlers in progress.
  void Close();
  // From now on, requests are read and never answered, as by a machine without
  // power. Its connections stay open until Close().
  void Silence() { silent_ = true; }

 private:
  void Accept();
  void Serve(int socket);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> closed_ = false;
  std::atomic<bool> silent_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
};

// Returns a port that is free on all of these addresses.
int FreePort(const std::vector<std::string>& ips);

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_H_
