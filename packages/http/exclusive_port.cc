#include "packages/http/exclusive_port.h"

#include <sys/socket.h>

namespace bramleyrail {

void RequireExclusivePort(httplib::Server* server) {
  server->set_socket_options([](socket_t socket) {
    // Without it, a restart would have to wait for old connections to leave
    // TIME_WAIT.
    const int enable = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  });
}

}  // namespace bramleyrail
