#ifndef PACKAGES_HTTP_FAKES_RAW_CLIENT_H_
#define PACKAGES_HTTP_FAKES_RAW_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "packages/base/base.h"

namespace bramleyrail {

// A blocking connection that sends any bytes.
class RawClient {
 public:
  // A small receive buffer leaves a response that is not read in the server.
  RawClient(const std::string& ip, uint16_t port, int receive_buffer = 0);

  bool is_connected() const { return connected_; }
  // Sends until all is sent, the server has closed the connection, or it has
  // taken nothing for some seconds.
  bool Send(std::string_view bytes);
  // Sends `unit` again and again, `size` bytes in all.
  bool SendRepeated(std::string_view unit, size_t size);
  // Status of the next response; 0 when the connection ends before it.
  int ReadStatus();
  // Reads until a pause of the server or `size` bytes.
  std::string Read(size_t size);

 private:
  const FileDescriptor socket_;
  bool connected_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_FAKES_RAW_CLIENT_H_
