#ifndef PACKAGES_HTTP_EXCLUSIVE_PORT_H_
#define PACKAGES_HTTP_EXCLUSIVE_PORT_H_

#include <httplib.h>

namespace bramleyrail {

// Makes the server refuse a port that another process listens on. The default
// of cpp-httplib shares it (SO_REUSEPORT), so that a second instance with the
// same settings would take half of the connections unnoticed.
void RequireExclusivePort(httplib::Server* server);

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_EXCLUSIVE_PORT_H_
