// One call of a client or an operator: prints the status and the body, or
// "none" without a response within a second.
//
//   http_call METHOD IP:PORT PATH [HOST [BODY]]

#include <httplib.h>

#include <cstdio>
#include <string>

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr,
                 "usage: http_call METHOD IP:PORT PATH [HOST [BODY]]\n");
    return 2;
  }
  const std::string address = argv[2];
  const size_t colon = address.rfind(':');
  httplib::Client client(address.substr(0, colon),
                         std::stoi(address.substr(colon + 1)));
  client.set_connection_timeout(1);
  client.set_read_timeout(3);
  httplib::Request request;
  request.method = argv[1];
  request.path = argv[3];
  if (argc > 4 && argv[4][0] != '\0') {
    request.set_header("Host", argv[4]);
  }
  request.set_header("X-Deadline-Ms", "3000");
  if (argc > 5) {
    request.body = argv[5];
    request.set_header("Content-Type", "application/json");
  }
  const auto result = client.send(request);
  if (!result) {
    std::printf("none\n");
    return 0;
  }
  std::printf("%d %s\n", result->status, result->body.c_str());
}
