#ifndef PACKAGES_HTTP_SERVER_CONNECTION_H_
#define PACKAGES_HTTP_SERVER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>

#include "packages/http/connection_memory.h"
#include "packages/http/server_context.h"

namespace bramleyrail {

// One connection of an AsyncHttpServer; requests are answered one after the
// other. Every byte that it keeps counts against the limit of its part of the
// message and in the account of the connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<ServerContext> server);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Waits for the next request.
  void Read();
  // Closes the connection while it waits for its client.
  void Close();
  // No part of a request has arrived.
  bool is_idle() const { return phase_ == Phase::kIdle; }

 private:
  enum class Phase { kIdle, kHeader, kBody, kResponse };
  struct OpenRequest;

  void EnterPhase(Phase phase);
  // The connection waits for its client, which has just made progress.
  void AwaitClient();
  void StopAwaiting();

  void ReadMore();
  void HandleRead(boost::system::error_code error, size_t count);
  // Parses what has arrived, and reads further until the message is whole.
  void Parse();
  void FinishHeader();
  void FinishRequest();
  // Returns whether the part of the message that is being read fits.
  bool CheckKeptBytes();
  bool IsPeerOpen();

  void RefuseInvalid(boost::system::error_code error);
  void Refuse(HttpLimit limit);
  void Write(HttpResponse response);
  void Record(HttpLimit limit);

  boost::beast::tcp_stream stream_;
  const std::shared_ptr<ServerContext> server_;
  ConnectionMemory::Account account_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  // Without the trailer fields, which RFC 9110 keeps apart from the header.
  HttpHeaders headers_;
  size_t header_bytes_ = 0;
  Phase phase_ = Phase::kIdle;
  bool keep_alive_ = true;
  bool closed_ = false;
  std::optional<std::list<ServerConnection*>::iterator> waiting_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_HTTP_SERVER_CONNECTION_H_
