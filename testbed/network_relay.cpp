#include "testbed/network_relay.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace thistlefront::testbed {

namespace {
constexpr int kPollIntervalMs = 50;
constexpr double kConnectTimeoutS = 1.0;
constexpr std::size_t kBufferBytes = 16384;

void wait_poll_interval() {
  ::poll(nullptr, 0, kPollIntervalMs);
}

// Sends all bytes; false if the connection is closed.
bool send_all(int socket, const char* bytes, std::size_t size) {
  while (size > 0) {
    const ssize_t sent = ::send(socket, bytes, size, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}

// Forwards the bytes that have arrived; false if either side is closed.
bool forward(int source, int destination) {
  std::array<char, kBufferBytes> bytes;
  const ssize_t received = ::recv(source, bytes.data(), bytes.size(), 0);
  return received > 0 && send_all(destination, bytes.data(), static_cast<std::size_t>(received));
}
}  // namespace

NetworkRelay::NetworkRelay(std::string destination) : destination_(std::move(destination)), listener_(listen_on(address_)) {
  accept_thread_ = std::jthread([this] { accept_connections(); });
}

NetworkRelay::~NetworkRelay() {
  stopping_ = true;
  listener_.shutdown();
  accept_thread_.join();
  std::lock_guard lock(mutex_);
  connections_.clear();
}

void NetworkRelay::accept_connections() {
  while (!stopping_) {
    Socket accepted = accept_from(listener_);
    if (!accepted.is_open()) continue;
    std::lock_guard lock(mutex_);
    std::erase_if(connections_, [](const auto& connection) { return connection->closed.load(); });
    connections_.push_back(std::make_unique<Connection>(*this, std::move(accepted)));
  }
}

NetworkRelay::Connection::Connection(NetworkRelay& relay, Socket accepted)
    : client(std::move(accepted)), thread([this, &relay] { run(relay); }) {}

void NetworkRelay::Connection::run(const NetworkRelay& relay) {
  while (relay.partitioned_ && !relay.stopping_) wait_poll_interval();
  server = connect_to(relay.destination_, kConnectTimeoutS);
  copy_bytes(relay);
  client.shutdown();
  server.shutdown();
  closed = true;
}

void NetworkRelay::Connection::copy_bytes(const NetworkRelay& relay) {
  while (server.is_open() && !relay.stopping_) {
    const auto server_events = static_cast<short>(relay.holds_replies_ ? 0 : POLLIN);
    pollfd fds[2] = {{client.fd(), POLLIN, 0}, {server.fd(), server_events, 0}};
    if (relay.partitioned_) {
      wait_poll_interval();
      continue;
    }
    if (::poll(fds, 2, kPollIntervalMs) < 0) return;
    bool alive = true;
    if (fds[0].revents != 0) alive = forward(client.fd(), server.fd());
    if (fds[1].revents != 0) alive = forward(server.fd(), client.fd()) && alive;
    if (!alive) return;
  }
}

}  // namespace thistlefront::testbed
