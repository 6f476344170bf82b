// Blocking TCP sockets over IPv4: an owned descriptor, connecting with a time limit, and a stream that Boost.Beast can read and
// write. The base of HttpClient, HttpServer and the frames between controllers.
#pragma once
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace thistlefront {

using ErrorCode = boost::system::error_code;

// Owns a socket's descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] int fd() const { return fd_; }
  int release() {
    int fd = fd_;
    fd_ = -1;
    return fd;
  }
  void close();
  // Wakes a thread that blocks on this socket.
  void shutdown() const {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }

 private:
  int fd_ = -1;
};

// Called once, from the calling thread, if a call is still waiting at the given time. The call goes on all the same.
struct LateCallback {
  double at = 0;  // steady seconds
  std::function<void()> then;
};
using Late = LateCallback;  // former name, for callers not renamed yet

// Splits "1.2.3.4:80" into host and port; nothing if it is not of that form.
std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address);
// Connects within the time limit. On failure the socket returned is not open.
Socket connect_to(const std::string& address, double timeout_s, LateCallback* late = nullptr);
// Listens with a deep backlog; throws std::runtime_error with the reason.
Socket listen_on(const std::string& address);
// Waits for the next connection. Not open if the listener was shut down, or if there is no descriptor left.
Socket accept_from(const Socket& listener);

// A synchronous stream over a socket, with the members that Boost.Beast requires. With a deadline, a read or write that would
// pass it fails with timed_out.
class Stream {
 public:
  Stream() = default;
  explicit Stream(Socket socket) : socket_(std::move(socket)) {}

  // Sets the deadline of the reads and writes that follow; nothing: none.
  void deadline(std::optional<double> steady_s, LateCallback* late = nullptr) {
    deadline_ = steady_s;
    late_ = late;
  }
  Socket& socket() { return socket_; }
  [[nodiscard]] const Socket& socket() const { return socket_; }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, ErrorCode& ec) {
    auto it = boost::asio::buffer_sequence_begin(buffers);
    const auto end = boost::asio::buffer_sequence_end(buffers);
    while (it != end && boost::asio::mutable_buffer(*it).size() == 0) ++it;
    if (it == end) {
      ec = {};
      return 0;
    }
    boost::asio::mutable_buffer first(*it);
    return read_raw(first.data(), first.size(), ec);
  }
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    ErrorCode ec;
    auto n = read_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, ErrorCode& ec) {
    iovec parts[kMaxParts];
    int count = 0;
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end && count < kMaxParts; ++it) {
      boost::asio::const_buffer b(*it);
      if (b.size() == 0) continue;
      parts[count++] = {const_cast<void*>(b.data()), b.size()};
    }
    return write_raw(parts, count, ec);
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    ErrorCode ec;
    auto n = write_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }

  // Read or write all of it; false on failure, with the reason in `ec`.
  bool read_exact(void* data, std::size_t size, ErrorCode& ec);
  bool write_all(const void* data, std::size_t size, ErrorCode& ec);

 private:
  static constexpr int kMaxParts = 16;  // buffers written with one system call
  std::size_t read_raw(void* data, std::size_t size, ErrorCode& ec);
  std::size_t write_raw(const iovec* parts, int count, ErrorCode& ec);
  bool wait_ready(short events, ErrorCode& ec) const;

  Socket socket_;
  std::optional<double> deadline_;
  LateCallback* late_ = nullptr;
};

}  // namespace thistlefront
