#ifndef PACKAGES_HTTP_SOCKET_ADDRESS_TEXT_H_
#define PACKAGES_HTTP_SOCKET_ADDRESS_TEXT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

// Reads "10.0.0.1:8080". kInvalidArgument for anything else.
Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text);

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_SOCKET_ADDRESS_TEXT_H_
