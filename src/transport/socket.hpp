// Blocking TCP sockets over IPv4: an owned descriptor, connecting with a timeout, and a stream for Boost.Beast. HttpClient,
// HttpServer and the frames between controllers are built on it.
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

// Owns a socket descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(other.release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
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

// Runs once, on the waiting thread, if a call is still waiting at `due_at`. The call continues to wait afterwards.
struct LateCallback {
  double due_at = 0;  // steady seconds
  std::function<void()> callback;
};

// Splits "1.2.3.4:80" into host and port; nullopt if `address` does not have that form.
std::optional<std::pair<std::string, std::uint16_t>> split_address(const std::string& address);
// Connects within `timeout_s`. On failure the returned socket is not open.
Socket connect_to(const std::string& address, double timeout_s, LateCallback* late = nullptr);
// Throws std::runtime_error with the reason if listening fails.
Socket listen_on(const std::string& address);
// Waits for the next connection. The returned socket is not open if the listener was shut down or no descriptor is available.
Socket accept_from(const Socket& listener);

// A synchronous stream over a socket, with the members that Boost.Beast requires. A read or write that is not complete by the
// deadline fails with timed_out.
class Stream {
 public:
  Stream() = default;
  explicit Stream(Socket socket) : socket_(std::move(socket)) {}

  // Sets the deadline and the late callback of later reads and writes; nullopt removes the deadline.
  void set_deadline(std::optional<double> steady_s, LateCallback* late = nullptr) {
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
    auto size = read_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return size;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, ErrorCode& ec) {
    iovec parts[kMaxBuffersPerWrite];
    int count = 0;
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end && count < kMaxBuffersPerWrite; ++it) {
      boost::asio::const_buffer buffer(*it);
      if (buffer.size() == 0) continue;
      parts[count++] = {const_cast<void*>(buffer.data()), buffer.size()};
    }
    return write_raw(parts, count, ec);
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    ErrorCode ec;
    auto size = write_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return size;
  }

  // Read or write exactly `size` bytes; false on failure, with the reason in `ec`.
  bool read_exact(void* data, std::size_t size, ErrorCode& ec);
  bool write_all(const void* data, std::size_t size, ErrorCode& ec);

 private:
  static constexpr int kMaxBuffersPerWrite = 16;  // written with one system call
  std::size_t read_raw(void* data, std::size_t size, ErrorCode& ec);
  std::size_t write_raw(const iovec* parts, int count, ErrorCode& ec);
  bool wait_ready(short events, ErrorCode& ec) const;

  Socket socket_;
  std::optional<double> deadline_;
  LateCallback* late_ = nullptr;
};

}  // namespace thistlefront
