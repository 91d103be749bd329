// Blocking HTTP/1.1 for the stand-ins of this review: a client that opens a
// connection for each call, and a server with a thread for each connection.
#ifndef REVIEW_HARNESS_3_HTTP_H_
#define REVIEW_HARNESS_3_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct Response {
  int status = 0;  // 0: no complete response.
  std::string body;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Sends one request over a connection of its own.
Response Call(const std::string& ip,
              int port,
              const std::string& method,
              const std::string& target,
              const std::string& body,
              int timeout_ms,
              const Headers& headers = {});

// Listens at construction and until Stop(), which ends all connections, as the
// end of a process does.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;
  HttpServer(std::string ip,
             int port,
             Handler handler,
             bool closes_connections = false);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // Resets the connections and waits for the handler.
  void Stop();

 private:
  struct Shared;
  static void Serve(const std::shared_ptr<Shared>& shared, int socket);
  std::shared_ptr<Shared> shared_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_HTTP_H_
