#include "testbed/network_relay.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace thistlefront::testbed {

namespace {
constexpr int kTickMs = 50;
constexpr double kConnectTimeoutS = 1.0;
constexpr std::size_t kBufferBytes = 16384;

void wait_tick() {
  ::poll(nullptr, 0, kTickMs);
}

// Sends all bytes; false when the other side is gone.
bool send_all(int socket, const char* bytes, std::size_t size) {
  while (size > 0) {
    const ssize_t sent = ::send(socket, bytes, size, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}

// Passes on what has arrived; false when either side is gone.
bool pass_on(int source, int destination) {
  std::array<char, kBufferBytes> bytes;
  const ssize_t received = ::recv(source, bytes.data(), bytes.size(), 0);
  return received > 0 && send_all(destination, bytes.data(), static_cast<std::size_t>(received));
}
}  // namespace

Relay::Relay(std::string to) : to_(std::move(to)), listener_(listen_on(address_)) {
  accepting_ = std::jthread([this] { accept_connections(); });
}

Relay::~Relay() {
  ending_ = true;
  listener_.shutdown();
  accepting_.join();
  std::lock_guard lock(mutex_);
  connections_.clear();
}

void Relay::accept_connections() {
  while (!ending_) {
    Socket accepted = accept_from(listener_);
    if (!accepted.is_open()) continue;
    std::lock_guard lock(mutex_);
    std::erase_if(connections_, [](const auto& connection) { return connection->over.load(); });
    connections_.push_back(std::make_unique<Connection>(*this, std::move(accepted)));
  }
}

Relay::Connection::Connection(Relay& relay, Socket accepted) : from(std::move(accepted)), thread([this, &relay] { run(relay); }) {}

void Relay::Connection::run(const Relay& relay) {
  while (relay.cut_ && !relay.ending_) wait_tick();
  to = connect_to(relay.to_, kConnectTimeoutS);
  copy(relay);
  from.shutdown();
  to.shutdown();
  over = true;
}

void Relay::Connection::copy(const Relay& relay) {
  while (to.is_open() && !relay.ending_) {
    const auto answer_events = static_cast<short>(relay.answers_held_ ? 0 : POLLIN);
    pollfd fds[2] = {{from.fd(), POLLIN, 0}, {to.fd(), answer_events, 0}};
    if (relay.cut_) {
      wait_tick();
      continue;
    }
    if (::poll(fds, 2, kTickMs) < 0) return;
    bool alive = true;
    if (fds[0].revents != 0) alive = pass_on(from.fd(), to.fd());
    if (fds[1].revents != 0) alive = pass_on(to.fd(), from.fd()) && alive;
    if (!alive) return;
  }
}

}  // namespace thistlefront::testbed
