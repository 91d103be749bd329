#ifndef PACKAGES_HTTP_SERVER_CONTEXT_H_
#define PACKAGES_HTTP_SERVER_CONTEXT_H_

#include <cstddef>
#include <list>

#include "packages/http/async_http_server.h"

namespace bramleyrail {

class ServerConnection;

// What the connections of one server share.
struct ServerContext {
  AsyncHttpServer::Options options;
  HttpHandler handler;
  bool draining = false;
  size_t open_requests = 0;
  size_t connections = 0;
  // Connections that wait for their clients, the one whose client was silent
  // for longest first.
  std::list<ServerConnection*> waiting;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_SERVER_CONTEXT_H_
