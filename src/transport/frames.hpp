// Request and reply frames between controllers: a fixed little-endian header, then the payload. A connection carries one request
// at a time; a pool of connections carries concurrent requests.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "transport/acceptor.hpp"

namespace thistlefront {

// One message. protocol/peer_messages.hpp defines the kinds.
struct Frame {
  std::uint8_t kind = 0;
  std::string payload;
};

// Header: u32 length of all bytes after this field, u8 version, u8 kind.
inline constexpr std::uint8_t kFrameVersion = 2;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{512} * 1024;

// Both return false on failure, with the reason in `ec`. A malformed header or an excessive length gives invalid_argument.
bool read_frame(Stream& stream, Frame& out, ErrorCode& ec);
bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec);

// Appends fixed-width little-endian fields.
class Packer {
 public:
  template <class Int>
  Packer& integer(Int value) {
    auto bits = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(Int); ++i) bytes_.push_back(static_cast<char>((bits >> (8 * i)) & 0xff));
    return *this;
  }
  Packer& text(std::string_view value) {
    integer(static_cast<std::uint32_t>(value.size()));
    bytes_.append(value);
    return *this;
  }
  std::string take_bytes() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// Reads the fields that Packer wrote. Every read is bounds-checked: a read past the end returns 0 or an empty text, and ok() stays
// false afterwards.
class Unpacker {
 public:
  explicit Unpacker(std::string_view bytes) : unread_(bytes) {}
  template <class Int>
  Int integer() {
    if (unread_.size() < sizeof(Int)) {
      ok_ = false;
      return 0;
    }
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < sizeof(Int); ++i) bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(unread_[i])) << (8 * i);
    unread_.remove_prefix(sizeof(Int));
    return static_cast<Int>(bits);
  }
  std::string text() {
    auto size = integer<std::uint32_t>();
    if (!ok_ || size > unread_.size()) {
      ok_ = false;
      return {};
    }
    std::string value(unread_.substr(0, size));
    unread_.remove_prefix(size);
    return value;
  }
  [[nodiscard]] bool ok() const { return ok_; }
  // Whether every read was within bounds and no bytes are left.
  [[nodiscard]] bool is_fully_read() const { return ok_ && unread_.empty(); }

 private:
  std::string_view unread_;
  bool ok_ = true;
};

// Replies to each request frame with the handler's reply. Each connection has a thread of its own.
class FrameServer {
 public:
  using Handler = std::function<Frame(const Frame&)>;
  FrameServer(const std::string& address, std::size_t max_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t count_open_connections() { return acceptor_.count_open_connections(); }

 private:
  Handler handler_;
  Acceptor acceptor_;
};

// Connections to one peer, shared by several threads.
class FrameConnectionPool {
 public:
  FrameConnectionPool(std::string address, std::size_t max_connections) : address_(std::move(address)), max_connections_(max_connections) {}
  // Sends a request and waits for the reply. Uses an idle connection or opens one; if all connections are busy, waits for a free
  // one. Returns nullopt if no reply arrives within `timeout_s`; the peer may or may not have handled the request.
  std::optional<Frame> call(const Frame& request, double timeout_s);
  // Ends all calls in progress without a reply, because the caller knows that none will arrive. Later calls are not affected.
  void interrupt_calls();

 private:
  struct Attempt {
    std::optional<Frame> reply;
    bool retry = false;  // the idle connection was stale; a new one may work
  };
  Attempt try_call(const Frame& request, double deadline, std::uint64_t interrupt_count);

  std::string address_;
  std::size_t max_connections_;
  std::mutex mutex_;
  std::condition_variable connection_freed_;
  std::size_t open_count_ = 0;  // idle and busy connections
  std::vector<std::unique_ptr<Stream>> idle_;
  std::set<Stream*> busy_;
  std::uint64_t interrupt_count_ = 0;  // number of calls of interrupt_calls()
};

}  // namespace thistlefront
