#include "packages/http/socket_address_text.h"

#include <string>

#include "absl/strings/numbers.h"

namespace bramleyrail {

Result<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  boost::system::error_code error;
  boost::asio::ip::address address;
  uint32_t port = 0;
  bool valid = colon != std::string_view::npos;
  if (valid) {
    address = boost::asio::ip::make_address(std::string(text.substr(0, colon)),
                                            error);
    valid = !error &&
            absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) &&
            port <= 65535;
  }
  if (!valid) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "'" + std::string(text) + "' is not an address",
                     "write an IP address and a port, such as 10.0.0.1:8080");
  }
  return boost::asio::ip::tcp::endpoint(address, static_cast<uint16_t>(port));
}

}  // namespace bramleyrail
