#include "transport/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {

constexpr int kListenBacklog = 512;

ErrorCode last_error() {
  return ErrorCode(errno, boost::system::system_category());
}

void disable_nagle(int fd) {
  int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

bool parse_address(const std::string& address, sockaddr_in& out) {
  auto parts = split_address(address);
  if (!parts) return false;
  std::memset(&out, 0, sizeof out);
  out.sin_family = AF_INET;
  out.sin_port = htons(parts->second);
  return ::inet_pton(AF_INET, parts->first.c_str(), &out.sin_addr) == 1;
}

int remaining_ms(double deadline) {
  const double remaining_s = deadline - steady_now();
  return remaining_s <= 0 ? 0 : static_cast<int>(std::ceil(remaining_s * 1000.0));
}

// Polls one descriptor until the deadline and returns the result of poll(). Runs the callback of `late` when it is due.
int wait_until(int fd, short events, double deadline, LateCallback* late) {
  for (;;) {
    const bool callback_pending = late && late->callback && late->due_at < deadline;
    pollfd polled{fd, events, 0};
    const int ready_count = ::poll(&polled, 1, remaining_ms(callback_pending ? late->due_at : deadline));
    if (ready_count < 0 && errno == EINTR) continue;
    if (ready_count != 0 || !callback_pending) return ready_count;
    std::exchange(late->callback, nullptr)();
  }
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    fd_ = other.release();
  }
  return *this;
}

void Socket::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [parsed_end, ec] = std::from_chars(address.data() + colon + 1, end, port);
  if (ec != std::errc() || parsed_end != end) return std::nullopt;
  std::string host = address.substr(0, colon);
  in_addr host_address{};
  if (::inet_pton(AF_INET, host.c_str(), &host_address) != 1) return std::nullopt;
  return std::make_pair(host, port);
}

Socket connect_to(const std::string& address, double timeout_s, LateCallback* late) {
  sockaddr_in endpoint{};
  if (!parse_address(address, endpoint)) return {};
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!socket.is_open()) return {};
  if (::connect(socket.fd(), reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0) {
    if (errno != EINPROGRESS) return {};
    if (wait_until(socket.fd(), POLLOUT, steady_now() + timeout_s, late) <= 0) return {};
    int error = 0;
    socklen_t error_size = sizeof error;
    if (::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &error_size) != 0 || error != 0) return {};
  }
  int flags = ::fcntl(socket.fd(), F_GETFL, 0);
  ::fcntl(socket.fd(), F_SETFL, flags & ~O_NONBLOCK);
  disable_nagle(socket.fd());
  return socket;
}

Socket listen_on(const std::string& address) {
  sockaddr_in endpoint{};
  if (!parse_address(address, endpoint)) throw std::runtime_error("not an address: " + address);
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!socket.is_open()) throw std::runtime_error("socket: " + last_error().message());
  int enabled = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (::bind(socket.fd(), reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 || ::listen(socket.fd(), kListenBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + address + ": " + last_error().message());
  }
  return socket;
}

Socket accept_from(const Socket& listener) {
  int fd = -1;
  do {
    fd = ::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
  } while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
  if (fd >= 0) disable_nagle(fd);
  return Socket(fd);
}

bool Stream::wait_ready(short events, ErrorCode& ec) const {
  const int ready_count = wait_until(socket_.fd(), events, *deadline_, late_);
  if (ready_count < 0) ec = last_error();
  if (ready_count == 0) ec = boost::asio::error::timed_out;
  return ready_count > 0;
}

std::size_t Stream::read_raw(void* data, std::size_t size, ErrorCode& ec) {
  if (deadline_ && !wait_ready(POLLIN, ec)) return 0;
  for (;;) {
    auto received = ::recv(socket_.fd(), data, size, 0);
    if (received > 0) {
      ec = {};
      return static_cast<std::size_t>(received);
    }
    if (received == 0) {
      ec = boost::asio::error::eof;
      return 0;
    }
    if (errno == EINTR) continue;
    ec = last_error();
    return 0;
  }
}

std::size_t Stream::write_raw(const iovec* parts, int count, ErrorCode& ec) {
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = static_cast<std::size_t>(count);
  for (;;) {
    const int flags = MSG_NOSIGNAL | (deadline_ ? MSG_DONTWAIT : 0);
    auto sent = ::sendmsg(socket_.fd(), &message, flags);
    if (sent >= 0) {
      ec = {};
      return static_cast<std::size_t>(sent);
    }
    if (errno == EINTR) continue;
    if ((errno == EAGAIN || errno == EWOULDBLOCK) && deadline_) {
      if (!wait_ready(POLLOUT, ec)) return 0;
      continue;
    }
    ec = last_error();
    return 0;
  }
}

bool Stream::read_exact(void* data, std::size_t size, ErrorCode& ec) {
  auto* next = static_cast<char*>(data);
  while (size > 0) {
    auto received = read_raw(next, size, ec);
    if (ec) return false;
    next += received;
    size -= received;
  }
  return true;
}

bool Stream::write_all(const void* data, std::size_t size, ErrorCode& ec) {
  const auto* next = static_cast<const char*>(data);
  while (size > 0) {
    iovec part{const_cast<char*>(next), size};
    auto sent = write_raw(&part, 1, ec);
    if (ec) return false;
    next += sent;
    size -= sent;
  }
  return true;
}

}  // namespace thistlefront
