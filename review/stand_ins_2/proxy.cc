// Forwards TCP connections, and cuts them off on a signal.
//
//   proxy [--end_delay_ms=N] LISTEN=TARGET [LISTEN=TARGET ...]      each
//   IP:PORT
//
// The end of a target's connection reaches the other side after the delay, as
// when its packet is lost and sent again.
// SIGUSR1 begins a cut with resets: open connections are reset and new ones are
// refused. SIGUSR2 ends it.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fcntl.h>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <string>
#include <vector>

namespace {

volatile sig_atomic_t cut = 0;

sockaddr_in Address(const std::string& text) {
  sockaddr_in address{};
  const size_t colon = text.rfind(':');
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

struct Listener {
  sockaddr_in address;
  sockaddr_in target;
  int socket = -1;
};

// Bytes from one socket to the other.
struct Direction {
  std::string bytes;
  bool ended = false;
};

struct Connection {
  int sockets[2] = {-1, -1};
  Direction directions[2];  // Of the bytes that sockets[i] has sent.
  // Set when the target has ended the connection.
  std::chrono::steady_clock::time_point closes_at;
  bool closing = false;
};

void Open(Listener* listener) {
  listener->socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener->socket,
           reinterpret_cast<const sockaddr*>(&listener->address),
           sizeof listener->address) != 0 ||
      listen(listener->socket, 128) != 0) {
    std::perror("proxy: listen");
    std::exit(1);
  }
}

void Accept(const Listener& listener, std::list<Connection>* connections) {
  const int accepted =
      accept4(listener.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    return;
  }
  Connection connection;
  connection.sockets[0] = accepted;
  connection.sockets[1] =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  for (const int descriptor : connection.sockets) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  (void)connect(connection.sockets[1],
                reinterpret_cast<const sockaddr*>(&listener.target),
                sizeof listener.target);
  connections->push_back(connection);
}

void Close(Connection* connection, bool reset) {
  const linger now{1, 0};
  for (const int descriptor : connection->sockets) {
    if (reset) {
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close(descriptor);
  }
}

// Returns false when the connection is over.
bool Forward(Connection* connection, const short (&events)[2]) {
  for (int from = 0; from < 2; ++from) {
    Direction& direction = connection->directions[from];
    if ((events[from] & (POLLIN | POLLHUP | POLLERR)) != 0 &&
        direction.bytes.empty()) {
      char buffer[65536];
      const ssize_t count =
          recv(connection->sockets[from], buffer, sizeof buffer, 0);
      if (count > 0) {
        direction.bytes.assign(buffer, static_cast<size_t>(count));
      } else if (count == 0) {
        direction.ended = true;
      } else if (errno != EAGAIN) {
        return false;
      }
    }
    if (!direction.bytes.empty()) {
      const ssize_t count =
          send(connection->sockets[1 - from], direction.bytes.data(),
               direction.bytes.size(), MSG_NOSIGNAL);
      if (count > 0) {
        direction.bytes.erase(0, static_cast<size_t>(count));
      } else if (errno != EAGAIN && errno != ENOTCONN) {
        return false;
      }
    }
    if (direction.ended && direction.bytes.empty()) {
      return false;
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGUSR1, [](int) { cut = 1; });
  signal(SIGUSR2, [](int) { cut = 0; });
  std::vector<Listener> listeners;
  std::chrono::milliseconds end_delay{0};
  for (int i = 1; i < argc; ++i) {
    const std::string pair = argv[i];
    if (pair.rfind("--end_delay_ms=", 0) == 0) {
      end_delay = std::chrono::milliseconds(std::stoi(pair.substr(15)));
      continue;
    }
    const size_t equals = pair.find('=');
    listeners.push_back(
        {Address(pair.substr(0, equals)), Address(pair.substr(equals + 1))});
    Open(&listeners.back());
  }
  std::list<Connection> connections;
  bool was_cut = false;
  while (true) {
    if (cut != 0 && !was_cut) {
      for (Listener& listener : listeners) {
        close(listener.socket);
      }
      for (Connection& connection : connections) {
        Close(&connection, /*reset=*/true);
      }
      connections.clear();
    } else if (cut == 0 && was_cut) {
      for (Listener& listener : listeners) {
        Open(&listener);
      }
    }
    was_cut = cut != 0;
    std::vector<pollfd> polled;
    if (!was_cut) {
      for (const Listener& listener : listeners) {
        polled.push_back({listener.socket, POLLIN, 0});
      }
    }
    for (const Connection& connection : connections) {
      for (int side = 0; side < 2; ++side) {
        const bool reads = connection.directions[side].bytes.empty();
        const bool writes = !connection.directions[1 - side].bytes.empty();
        // poll() ignores a negative descriptor.
        polled.push_back(
            {connection.closing ? -1 : connection.sockets[side],
             static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0)),
             0});
      }
    }
    if (poll(polled.data(), polled.size(), 10) < 0 || was_cut || cut != 0) {
      continue;
    }
    const auto now = std::chrono::steady_clock::now();
    size_t position = listeners.size();
    for (auto connection = connections.begin();
         connection != connections.end();) {
      const short events[2] = {polled[position].revents,
                               polled[position + 1].revents};
      position += 2;
      if (connection->closing && now < connection->closes_at) {
        ++connection;
        continue;
      }
      if (!connection->closing &&
          ((events[0] | events[1]) == 0 || Forward(&*connection, events))) {
        ++connection;
        continue;
      }
      if (!connection->closing && end_delay.count() > 0 &&
          connection->directions[1].ended) {
        connection->closing = true;
        connection->closes_at = now + end_delay;
        ++connection;
        continue;
      }
      Close(&*connection, /*reset=*/false);
      connection = connections.erase(connection);
    }
    for (size_t i = 0; i < listeners.size(); ++i) {
      if ((polled[i].revents & POLLIN) != 0) {
        Accept(listeners[i], &connections);
      }
    }
  }
}
